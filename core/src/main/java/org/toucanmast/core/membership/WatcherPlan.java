package org.toucanmast.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Chooses the few VMs that watch the store on behalf of all: one in each data centre, and two if
 * there is only one data centre.
 *
 * <p>Load pattern: every waiting watch is a call that the store answers and counts, so that the
 * calls of a fleet in which each VM watches grow with the fleet, most of all while the store is
 * failing and every VM retries. Large VMs come first, because a watcher passes large configurations
 * on. Where the store refuses a watcher, the next VMs in rank try as well, up to a bound.
 */
public final class WatcherPlan {
  /** Number of VMs of a data centre that may try at the same time while the store refuses some. */
  private static final int MAXIMUM_ATTEMPTS = 3;

  private static final String RANK = "store-watcher";

  private WatcherPlan() {}

  /**
   * Returns whether a VM watches the store.
   *
   * @param vm the VM
   * @param members all registered VMs, including this one
   * @param view the reports by which VMs that are unreachable or leaving are passed over
   */
  public static boolean isWatcher(
      VmDescription vm, Collection<VmDescription> members, FleetView view) {
    Map<String, VmDescription> candidates = new HashMap<>();
    TreeSet<String> dataCentres = new TreeSet<>();
    for (VmDescription member : members) {
      dataCentres.add(member.dataCentre());
      boolean isSelf = member.name().equals(vm.name());
      boolean mayWatch =
          isSelf ? !view.reportOf(member.name()).leaving() : view.accepts(member.name());
      if (member.dataCentre().equals(vm.dataCentre()) && mayWatch) {
        candidates.put(member.name(), member);
      }
    }
    int wanted = dataCentres.size() > 1 ? 1 : 2;
    int attempts = 0;
    for (String name : rank(candidates)) {
      if (name.equals(vm.name())) {
        return true;
      }
      attempts++;
      if (!view.reportOf(name).storeRefused()) {
        wanted--;
      }
      if (wanted == 0 || attempts >= MAXIMUM_ATTEMPTS) {
        return false;
      }
    }
    return false;
  }

  private static List<String> rank(Map<String, VmDescription> candidates) {
    return Rendezvous.rank(RANK, candidates.keySet()).stream()
        .sorted(Comparator.comparingDouble(name -> -candidates.get(name).capacity()))
        .toList();
  }
}
