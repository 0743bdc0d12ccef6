package org.toucanmast.core.promotion;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanmast.core.membership.Rendezvous;

/** Assigns VMs to observe a database, spread over data centres, by rendezvous hashing. */
public final class Observers {
  /** Number of VMs that observe a database. */
  public static final int COUNT = 3;

  private Observers() {}

  /**
   * Returns the observers of a database, in the order in which they may order a promotion; fewer
   * than {@link #COUNT} when fewer VMs are live.
   *
   * @param liveVms the data centre of each live VM, by name of the VM
   */
  public static List<String> of(String database, Map<String, String> liveVms) {
    List<String> ranked = Rendezvous.rank("observe/" + database, liveVms.keySet());
    List<String> chosen = new ArrayList<>();
    Set<String> usedDataCentres = new HashSet<>();
    for (String vm : ranked) {
      if (chosen.size() < COUNT && usedDataCentres.add(liveVms.get(vm))) {
        chosen.add(vm);
      }
    }
    for (String vm : ranked) {
      if (chosen.size() < COUNT && !chosen.contains(vm)) {
        chosen.add(vm);
      }
    }
    return chosen;
  }
}
