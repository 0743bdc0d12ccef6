package org.toucanmast.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Drives the views of whole fleets through seeded faults. Exchanges take place in rounds; a round
 * stands for one interval between heartbeats.
 */
class FleetViewTest {
  private final Map<String, VmDescription> vms = new TreeMap<>();
  private final Map<String, FleetView> views = new TreeMap<>();
  private final Set<String> dead = new HashSet<>();
  private final Set<String> leaving = new HashSet<>();
  private BiPredicate<String, String> cut = (from, to) -> false;
  private double loss;
  private Random random = new Random(1);

  private void start(int dataCentres, int vmsInEach) {
    for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
      for (int number = 0; number < vmsInEach; number++) {
        String name = "vm-" + dataCentre + "-" + number;
        vms.put(name, new VmDescription(name, "dc-" + dataCentre, 1));
      }
    }
    vms.values().forEach(vm -> run(vm, 100));
  }

  private void run(VmDescription vm, long incarnation) {
    FleetView view = new FleetView(vm, incarnation);
    view.setMembers(vms.values());
    views.put(vm.name(), view);
  }

  private boolean delivers(String from, String to) {
    return !dead.contains(from) && !dead.contains(to) && !cut.test(from, to);
  }

  private void round() {
    views.forEach(
        (name, view) -> {
          if (!dead.contains(name)) {
            Set<String> suspected = new HashSet<>(view.plan().subjectsOf(name));
            suspected.removeIf(peer -> delivers(name, peer) && delivers(peer, name));
            view.setOwnReport(leaving.contains(name), false, suspected);
          }
        });
    Map<String, List<VmReport>> sent = new HashMap<>();
    views.forEach((name, view) -> sent.put(name, view.allReports()));
    views.forEach(
        (name, view) -> {
          for (String neighbour : view.plan().neighboursOf(name)) {
            boolean differs = views.get(neighbour).digest() != view.digest();
            if (differs && delivers(neighbour, name) && random.nextDouble() >= loss) {
              sent.get(neighbour).forEach(view::onReport);
            }
          }
        });
  }

  private void rounds(int count) {
    for (int round = 0; round < count; round++) {
      round();
    }
  }

  private List<String> alive() {
    return vms.keySet().stream().filter(name -> !dead.contains(name)).toList();
  }

  private void assertThatAllSee(Set<String> unreachable) {
    assertThat(alive())
        .allSatisfy(
            name -> assertThat(views.get(name).unreachable()).as(name).isEqualTo(unreachable));
  }

  @Test
  void should_see_a_vm_that_died() {
    start(5, 19);
    dead.add("vm-2-3");
    rounds(8);

    assertThatAllSee(Set.of("vm-2-3"));
  }

  @Test
  void should_not_believe_a_single_monitor() {
    start(5, 19);
    String subject = "vm-2-3";
    String monitor = views.get(subject).plan().monitorsOf(subject).iterator().next();
    cut = (from, to) -> from.equals(monitor) && to.equals(subject);
    rounds(8);

    assertThatAllSee(Set.of());
  }

  @Test
  void should_see_all_vms_of_a_data_centre_that_was_lost_at_once() {
    start(5, 19);
    vms.keySet().stream().filter(name -> name.startsWith("vm-1-")).forEach(dead::add);
    rounds(8);

    assertThatAllSee(dead);
  }

  @Test
  void should_see_each_other_side_as_lost_when_a_data_centre_is_cut_off() {
    start(5, 19);
    cut = (from, to) -> from.startsWith("vm-1-") != to.startsWith("vm-1-");
    rounds(8);

    Set<String> inside = new TreeSet<>(vms.keySet());
    inside.removeIf(name -> !name.startsWith("vm-1-"));
    Set<String> outside = new TreeSet<>(vms.keySet());
    outside.removeAll(inside);
    assertThat(views.get("vm-1-4").unreachable()).isEqualTo(outside);
    assertThat(views.get("vm-3-4").unreachable()).isEqualTo(inside);
    assertThat(views.get("vm-3-4").isIsolated()).isFalse();

    cut = (from, to) -> false;
    rounds(8);
    assertThatAllSee(Set.of());
  }

  @Test
  void should_discount_the_reports_of_a_vm_that_was_cut_off_alone() {
    start(3, 2);
    cut = (from, to) -> from.equals("vm-0-0") || to.equals("vm-0-0");
    rounds(8);

    assertThat(views.get("vm-0-0").isIsolated()).isTrue();
    assertThat(views.get("vm-1-0").unreachable()).containsExactly("vm-0-0");
  }

  @Test
  void should_answer_the_report_of_an_earlier_run_of_the_same_vm() {
    start(3, 4);
    leaving.add("vm-0-0");
    rounds(6);
    assertThat(views.get("vm-2-1").accepts("vm-0-0")).isFalse();

    leaving.clear();
    run(vms.get("vm-0-0"), 90);
    rounds(8);

    assertThat(views.get("vm-2-1").accepts("vm-0-0")).isTrue();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void should_converge_at_300_vms_after_loss_cuts_freezes_and_restarts(long seed) {
    random = new Random(seed);
    loss = 0.3;
    start(5, 60);
    List<String> names = List.copyOf(vms.keySet());
    for (int fault = 0; fault < 6; fault++) {
      String victim = names.get(random.nextInt(names.size()));
      int share = 2 + random.nextInt(8);
      long salt = random.nextLong();
      switch (random.nextInt(4)) {
        case 0 -> cut = (from, to) -> (from.hashCode() ^ salt) % share == 0;
        case 1 -> names.stream().filter(vm -> random.nextInt(share) == 0).forEach(dead::add);
        case 2 -> cut = (from, to) -> from.startsWith("vm-3-") != to.startsWith("vm-3-");
        default -> run(vms.get(victim), 200 + fault);
      }
      rounds(1 + random.nextInt(5));
      long incarnation = 300 + fault;
      names.stream().filter(dead::contains).forEach(name -> run(vms.get(name), incarnation));
      dead.clear();
      cut = (from, to) -> false;
    }
    Set<String> lost = new HashSet<>();
    names.stream().filter(vm -> random.nextInt(20) == 0).forEach(lost::add);
    dead.addAll(lost);
    rounds(25);

    List<Long> digests = new ArrayList<>();
    alive().forEach(name -> digests.add(views.get(name).digest()));
    assertThat(new HashSet<>(digests)).hasSize(1);
    assertThatAllSee(lost);
  }
}
