package org.toucanmast.runtime.session;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanmast.core.membership.Rendezvous;

/** Assigns gateway VMs to database groups by weighted rendezvous hashing. */
final class GatewayRouter {
  private final Map<String, List<String>> vmsByGroup = new HashMap<>();
  private Map<String, Double> capacities = Map.of();

  /** Sets the reachable VMs, with their capacities in cores. */
  void onFleetChanged(Map<String, Double> reachable) {
    capacities = Map.copyOf(reachable);
    vmsByGroup.clear();
  }

  /** Returns the reachable VMs in the order in which they are preferred as gateway of a group. */
  List<String> rank(String group) {
    return vmsByGroup.computeIfAbsent(group, key -> Rendezvous.rankByWeight(group, capacities));
  }

  /** Returns whether a VM is the preferred gateway of a group. */
  boolean isFirst(String group, String vm) {
    List<String> vms = rank(group);
    return !vms.isEmpty() && vms.get(0).equals(vm);
  }
}
