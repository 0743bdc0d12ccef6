package org.toucanmast.core.promotion;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanmast.core.membership.Rendezvous;

/** The VMs that observe a database, spread over data centres, by rendezvous hashing. */
public final class Observers {
  /** How many VMs observe a database. */
  public static final int COUNT = 3;

  private Observers() {}

  /**
   * Returns the observers of a database, the first to order a promotion first.
   *
   * @param liveVms data centre by name of each live VM
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
