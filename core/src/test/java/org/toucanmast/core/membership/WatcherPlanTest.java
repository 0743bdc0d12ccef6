package org.toucanmast.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class WatcherPlanTest {
  private final List<VmDescription> fleet = new ArrayList<>();
  private FleetView view;

  private void fleet(int dataCentres, int vmsInEach) {
    for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
      for (int vm = 0; vm < vmsInEach; vm++) {
        double capacity = vm == 1 ? 1.5 : 0.36;
        fleet.add(new VmDescription("vm-" + dataCentre + "-" + vm, "dc-" + dataCentre, capacity));
      }
    }
    view = new FleetView(fleet.get(0), 1);
    view.setMembers(fleet);
  }

  private List<String> watchers() {
    return fleet.stream()
        .filter(vm -> WatcherPlan.isWatcher(vm, fleet, view))
        .map(VmDescription::name)
        .toList();
  }

  private void report(String vm, boolean leaving, boolean storeRefused) {
    view.onReport(new VmReport(vm, 1, 1, leaving, storeRefused, new TreeSet<>(Set.of())));
  }

  @Test
  void should_choose_the_largest_vm_of_each_data_centre() {
    fleet(5, 19);

    assertThat(watchers()).containsExactly("vm-0-1", "vm-1-1", "vm-2-1", "vm-3-1", "vm-4-1");
  }

  @Test
  void should_choose_two_where_there_is_one_data_centre() {
    fleet(1, 5);

    assertThat(watchers()).hasSize(2).contains("vm-0-1");
  }

  @Test
  void should_pass_over_a_vm_that_is_leaving() {
    fleet(2, 4);
    report("vm-1-1", true, false);

    assertThat(watchers()).hasSize(2).doesNotContain("vm-1-1");
  }

  @Test
  void should_let_the_next_vm_try_where_the_store_refuses_the_first() {
    fleet(2, 6);
    report("vm-1-1", false, true);

    assertThat(watchers()).hasSize(3).contains("vm-1-1");
  }

  @Test
  void should_not_let_all_vms_try_while_the_store_refuses_everyone() {
    fleet(5, 19);
    fleet.forEach(vm -> report(vm.name(), false, true));
    view.setOwnReport(false, true, Set.of());

    assertThat(watchers()).hasSize(15);
  }
}
