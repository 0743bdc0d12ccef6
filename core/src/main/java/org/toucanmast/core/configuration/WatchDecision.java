package org.toucanmast.core.configuration;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.toucanmast.core.membership.Rendezvous;

/**
 * Decides whether a VM watches the platform itself. A few VMs of each data centre do; the others
 * hear of new revisions from peers, and fall back to the platform when they hear nothing.
 */
public final class WatchDecision {
  /** How many VMs of a data centre watch. */
  public static final int WATCHERS_PER_DATA_CENTRE = 2;

  private WatchDecision() {}

  /**
   * Decides.
   *
   * @param liveVms data centre by name of each live VM, this one included
   * @param confirmationAge age of this VM's newest confirmation, in nanoseconds; -1 when none
   * @param limit the age above which the VM watches whatever others do, in nanoseconds
   */
  public static boolean shouldWatch(
      String self, Map<String, String> liveVms, long confirmationAge, long limit) {
    if (confirmationAge < 0 || confirmationAge > limit) {
      return true;
    }
    String dataCentre = liveVms.get(self);
    Collection<String> neighbours = new TreeSet<>();
    liveVms.forEach(
        (vm, place) -> {
          if (place.equals(dataCentre)) {
            neighbours.add(vm);
          }
        });
    List<String> ranked = Rendezvous.rank("watch/" + dataCentre, neighbours);
    return ranked.indexOf(self) < WATCHERS_PER_DATA_CENTRE;
  }
}
