package org.toucanmast.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Assigns to each VM the few peers that it monitors, whatever the size of the fleet.
 *
 * <p>The VMs of a data centre form a ring in the order of a hash of their names. Each VM monitors
 * two VMs of its own ring, the next one and one further on, and one VM in each of two other data
 * centres. A VM therefore has about four monitors, and keeps two of them when its data centre is
 * lost. Every VM computes the same plan from the same members.
 *
 * <p>The pairs of the plan are also the edges over which reports and changes of the store spread.
 * The second peer of the ring lies about the square root of the ring's size away, which keeps the
 * number of hops low; source: distributed loop networks, Wong and Coppersmith, 1974.
 */
public final class MonitoringPlan {
  /** Number of other data centres in which a VM monitors a peer. */
  private static final int REMOTE_SUBJECTS = 2;

  private static final String RING = "monitoring";

  private final Map<String, SortedSet<String>> subjects = new TreeMap<>();
  private final Map<String, SortedSet<String>> monitors = new TreeMap<>();
  private final Map<String, String> dataCentres = new TreeMap<>();

  /** Creates the plan for the registered VMs of a fleet. */
  public MonitoringPlan(Collection<VmDescription> vms) {
    TreeMap<String, List<String>> rings = ringsByDataCentre(vms);
    List<String> names = List.copyOf(rings.keySet());
    for (VmDescription vm : vms) {
      dataCentres.put(vm.name(), vm.dataCentre());
      subjects.put(vm.name(), new TreeSet<>());
      monitors.put(vm.name(), new TreeSet<>());
    }
    for (int index = 0; index < names.size(); index++) {
      List<String> ring = rings.get(names.get(index));
      for (int place = 0; place < ring.size(); place++) {
        addLocalSubjects(ring, place);
        addRemoteSubjects(rings, names, index, place);
      }
    }
  }

  private static TreeMap<String, List<String>> ringsByDataCentre(Collection<VmDescription> vms) {
    TreeMap<String, Set<String>> members = new TreeMap<>();
    vms.forEach(
        vm -> members.computeIfAbsent(vm.dataCentre(), any -> new TreeSet<>()).add(vm.name()));
    TreeMap<String, List<String>> rings = new TreeMap<>();
    members.forEach(
        (dataCentre, names) ->
            rings.put(dataCentre, new ArrayList<>(Rendezvous.rank(RING, names))));
    return rings;
  }

  private void addLocalSubjects(List<String> ring, int place) {
    int stride = Math.max(2, (int) Math.round(Math.sqrt(ring.size())));
    addSubject(ring.get(place), ring.get((place + 1) % ring.size()));
    addSubject(ring.get(place), ring.get((place + stride) % ring.size()));
  }

  /**
   * Adds the subjects of a VM in other data centres. Consecutive VMs of a ring use the other data
   * centres in turn, so that each pair of data centres is covered.
   */
  private void addRemoteSubjects(
      TreeMap<String, List<String>> rings, List<String> names, int index, int place) {
    int others = names.size() - 1;
    int count = Math.min(REMOTE_SUBJECTS, others);
    for (int subject = 0; subject < count; subject++) {
      int turn = place * count + subject;
      int distance = 1 + turn % others;
      List<String> ring = rings.get(names.get((index + distance) % names.size()));
      int offset = (distance - 1) * count * ring.size() / others;
      addSubject(
          rings.get(names.get(index)).get(place), ring.get((offset + turn / others) % ring.size()));
    }
  }

  private void addSubject(String monitor, String subject) {
    if (!monitor.equals(subject)) {
      subjects.get(monitor).add(subject);
      monitors.get(subject).add(monitor);
    }
  }

  /** Returns the VMs that a VM monitors; empty for a VM that is not registered. */
  public Set<String> subjectsOf(String vm) {
    return subjects.getOrDefault(vm, new TreeSet<>());
  }

  /** Returns the VMs that monitor a VM; empty for a VM that is not registered. */
  public Set<String> monitorsOf(String vm) {
    return monitors.getOrDefault(vm, new TreeSet<>());
  }

  /** Returns the VMs with which a VM exchanges reports and changes of the store. */
  public Set<String> neighboursOf(String vm) {
    Set<String> neighbours = new TreeSet<>(subjectsOf(vm));
    neighbours.addAll(monitorsOf(vm));
    return neighbours;
  }

  /** Returns the registered VMs. */
  public Set<String> vms() {
    return subjects.keySet();
  }

  /** Returns the data centre of a registered VM. */
  public String dataCentreOf(String vm) {
    return dataCentres.get(vm);
  }
}
