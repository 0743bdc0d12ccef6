package org.toucanmast.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class MonitoringPlanTest {
  private static List<VmDescription> fleet(int dataCentres, int vmsInEach) {
    List<VmDescription> fleet = new ArrayList<>();
    for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
      for (int vm = 0; vm < vmsInEach; vm++) {
        fleet.add(new VmDescription("vm-" + dataCentre + "-" + vm, "dc-" + dataCentre, 1));
      }
    }
    return fleet;
  }

  @Property(tries = 60, seed = "20261204")
  void should_have_a_degree_that_does_not_depend_on_the_size_of_the_fleet(
      @ForAll @IntRange(min = 2, max = 6) int dataCentres,
      @ForAll @IntRange(min = 3, max = 60) int vmsInEach) {
    MonitoringPlan plan = new MonitoringPlan(fleet(dataCentres, vmsInEach));

    for (String vm : plan.vms()) {
      assertThat(plan.subjectsOf(vm)).hasSizeBetween(3, 4).doesNotContain(vm);
      assertThat(plan.monitorsOf(vm)).hasSizeBetween(3, 6);
    }
  }

  @Property(tries = 60, seed = "20261204")
  void should_leave_monitors_to_each_vm_when_its_data_centre_is_lost(
      @ForAll @IntRange(min = 2, max = 6) int dataCentres,
      @ForAll @IntRange(min = 3, max = 60) int vmsInEach) {
    MonitoringPlan plan = new MonitoringPlan(fleet(dataCentres, vmsInEach));

    for (String vm : plan.vms()) {
      assertThat(plan.monitorsOf(vm))
          .anyMatch(monitor -> !plan.dataCentreOf(monitor).equals(plan.dataCentreOf(vm)))
          .anyMatch(monitor -> plan.dataCentreOf(monitor).equals(plan.dataCentreOf(vm)));
    }
  }

  @Test
  void should_reach_300_vms_over_neighbours_in_few_hops() {
    MonitoringPlan plan = new MonitoringPlan(fleet(5, 60));
    Set<String> reached = new HashSet<>(Set.of("vm-0-0"));
    int hops = 0;
    while (reached.size() < 300) {
      List.copyOf(reached).forEach(vm -> reached.addAll(plan.neighboursOf(vm)));
      hops++;
    }

    assertThat(hops).isLessThanOrEqualTo(6);
  }

  @Test
  void should_be_the_same_for_any_order_of_the_members() {
    List<VmDescription> fleet = fleet(3, 7);
    List<VmDescription> reversed = new ArrayList<>(fleet);
    java.util.Collections.reverse(reversed);

    MonitoringPlan plan = new MonitoringPlan(fleet);
    MonitoringPlan other = new MonitoringPlan(reversed);

    assertThat(plan.vms())
        .allSatisfy(vm -> assertThat(plan.subjectsOf(vm)).isEqualTo(other.subjectsOf(vm)));
  }

  @Test
  void should_monitor_nobody_in_a_fleet_of_one() {
    assertThat(new MonitoringPlan(fleet(1, 1)).neighboursOf("vm-0-0")).isEmpty();
  }
}
