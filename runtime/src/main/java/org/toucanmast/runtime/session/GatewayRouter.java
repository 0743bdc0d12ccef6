package org.toucanmast.runtime.session;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanmast.core.membership.Rendezvous;

/** Which VMs are the gateways of a group, the first choice first. */
final class GatewayRouter {
  private final Map<String, List<String>> ranks = new HashMap<>();
  private Map<String, Double> capacities = Map.of();

  /** Takes the VMs that can be reached, with their capacities. */
  void onFleet(Map<String, Double> reachable) {
    capacities = Map.copyOf(reachable);
    ranks.clear();
  }

  /** Returns the VMs for a group. */
  List<String> rank(String group) {
    return ranks.computeIfAbsent(group, any -> Rendezvous.rankByWeight(group, capacities));
  }

  /** Returns whether a VM is the first choice for a group. */
  boolean isFirst(String group, String vm) {
    List<String> ranked = rank(group);
    return !ranked.isEmpty() && ranked.get(0).equals(vm);
  }
}
