package org.toucanmast.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Ranks the VMs that may be the gateway of a group: first those in a data centre that has endpoints
 * of the group, each by capacity-weighted rendezvous hashing.
 *
 * <p>Load pattern: callers enter in every data centre, endpoints run in some of them. A gateway
 * without an endpoint nearby sends every statement and every answer across twice.
 */
public final class GatewayRanking {
  private GatewayRanking() {}

  /**
   * Returns the VMs in the order in which they are preferred.
   *
   * @param group the database group
   * @param capacities the VMs that may be given work, with their capacities in cores
   * @param dataCentres the data centres of these VMs
   * @param preferred the data centres that have endpoints of the group
   */
  public static List<String> rank(
      String group,
      Map<String, Double> capacities,
      Map<String, String> dataCentres,
      Set<String> preferred) {
    List<String> near = new ArrayList<>();
    List<String> far = new ArrayList<>();
    for (String vm : Rendezvous.rankByWeight(group, capacities)) {
      (preferred.contains(dataCentres.get(vm)) ? near : far).add(vm);
    }
    near.addAll(far);
    return near;
  }

  /**
   * Returns the VM in a data centre that reads which arrive there are sent to. If the group's
   * gateway is in the data centre, it is that one.
   *
   * @param group the database group
   * @param capacities the VMs that may be given work, with their capacities in cores
   * @param dataCentres the data centres of these VMs
   * @param dataCentre the data centre
   * @return empty if there is no VM in the data centre
   */
  public static Optional<String> nearby(
      String group,
      Map<String, Double> capacities,
      Map<String, String> dataCentres,
      String dataCentre) {
    return Rendezvous.rankByWeight(group, capacities).stream()
        .filter(vm -> dataCentre.equals(dataCentres.get(vm)))
        .findFirst();
  }
}
