package org.toucanmast.runtime.session;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.membership.GatewayRanking;

/**
 * Assigns gateway VMs to database groups.
 *
 * <p>The data centres in which a group has had endpoints are remembered, so that an entry that is
 * missing for a while moves no gateway.
 */
final class GatewayRouter {
  private final Map<String, List<String>> vmsByGroup = new HashMap<>();
  private final Map<String, Set<String>> endpointDataCentres = new HashMap<>();
  private final Map<String, Optional<String>> nearbyVmByGroup = new HashMap<>();
  private final String dataCentre;
  private Map<String, Double> capacities = Map.of();
  private Map<String, String> dataCentres = Map.of();

  /**
   * Creates a router without VMs.
   *
   * @param dataCentre the data centre of this VM
   */
  GatewayRouter(String dataCentre) {
    this.dataCentre = dataCentre;
  }

  /** Sets the reachable VMs, with their capacities in cores, and the data centres of all VMs. */
  void onFleetChanged(Map<String, Double> reachable, Map<String, String> dataCentresOfVms) {
    capacities = Map.copyOf(reachable);
    dataCentres = Map.copyOf(dataCentresOfVms);
    vmsByGroup.clear();
    nearbyVmByGroup.clear();
  }

  /** Forgets all groups but the given ones. */
  void retainGroups(Set<String> groups) {
    endpointDataCentres.keySet().retainAll(groups);
    vmsByGroup.keySet().retainAll(groups);
    nearbyVmByGroup.keySet().retainAll(groups);
  }

  /** Records that a group has an endpoint in a data centre. */
  void onEndpoint(String group, String dataCentre) {
    if (endpointDataCentres.computeIfAbsent(group, any -> new HashSet<>()).add(dataCentre)) {
      vmsByGroup.remove(group);
      nearbyVmByGroup.remove(group);
    }
  }

  /**
   * Returns the VM to which reads of a group are sent that arrive in this VM's data centre; empty
   * if the group has no endpoint there.
   */
  Optional<String> nearby(String group) {
    return nearbyVmByGroup.computeIfAbsent(
        group,
        key ->
            endpointDataCentres.getOrDefault(group, Set.of()).contains(dataCentre)
                ? GatewayRanking.nearby(group, capacities, dataCentres, dataCentre)
                : Optional.empty());
  }

  /** Returns the reachable VMs in the order in which they are preferred as gateway of a group. */
  List<String> rank(String group) {
    return vmsByGroup.computeIfAbsent(
        group,
        key ->
            GatewayRanking.rank(
                group, capacities, dataCentres, endpointDataCentres.getOrDefault(group, Set.of())));
  }

  /** Returns whether a VM is the preferred gateway of a group. */
  boolean isFirst(String group, String vm) {
    List<String> vms = rank(group);
    return !vms.isEmpty() && vms.get(0).equals(vm);
  }

  /** Returns whether reads of a group that arrive in this VM's data centre are sent to a VM. */
  boolean isNearby(String group, String vm) {
    return nearby(group).filter(vm::equals).isPresent();
  }
}
