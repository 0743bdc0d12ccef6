package org.toucanmast.core.configuration;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.toucanmast.core.membership.Rendezvous;

/**
 * Decides whether a VM watches the platform for new revisions. Only a few VMs of each data centre
 * do. The others learn of new revisions from their peers, and watch the platform when no peer has
 * confirmed their revision recently.
 */
public final class WatchDecision {
  /** The number of VMs in each data centre that watch the platform. */
  public static final int WATCHERS_PER_DATA_CENTRE = 2;

  private WatchDecision() {}

  /**
   * Returns whether a VM watches the platform.
   *
   * @param self the name of the VM
   * @param liveVms the data centre of each live VM by VM name, including {@code self}
   * @param confirmationAgeInNanoseconds the time since the VM's revision was last confirmed; -1
   *     when it never was
   * @param limitInNanoseconds the age above which the VM watches regardless of its rank
   */
  public static boolean shouldWatch(
      String self,
      Map<String, String> liveVms,
      long confirmationAgeInNanoseconds,
      long limitInNanoseconds) {
    if (confirmationAgeInNanoseconds < 0 || confirmationAgeInNanoseconds > limitInNanoseconds) {
      return true;
    }
    String dataCentre = liveVms.get(self);
    Collection<String> vmsInDataCentre = new TreeSet<>();
    liveVms.forEach(
        (vm, vmDataCentre) -> {
          if (vmDataCentre.equals(dataCentre)) {
            vmsInDataCentre.add(vm);
          }
        });
    List<String> ranked = Rendezvous.rank("watch/" + dataCentre, vmsInDataCentre);
    return ranked.indexOf(self) < WATCHERS_PER_DATA_CENTRE;
  }
}
