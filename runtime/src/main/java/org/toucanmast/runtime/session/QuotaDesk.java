package org.toucanmast.runtime.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanmast.core.catalog.Customer;
import org.toucanmast.core.membership.Rendezvous;
import org.toucanmast.core.quota.CustomerGate;
import org.toucanmast.core.quota.DemandShares;
import org.toucanmast.schema.CustomerDemand;
import org.toucanmast.schema.CustomerShare;
import org.toucanmast.schema.FleetPulse;

/**
 * The customers' allowances at this VM: what it lets through, and, for the customers that it keeps,
 * which part each VM may use.
 */
final class QuotaDesk {
  /** Customers are kept in this many lots, so that a VM needs few links for them. */
  private static final int LOTS = 8;

  private final String vm;
  private final Map<String, CustomerGate> gates = new HashMap<>();
  private final Map<String, DemandShares> kept = new HashMap<>();
  private final Map<Integer, String> keepers = new HashMap<>();
  private final Map<String, Set<String>> reported = new HashMap<>();
  private Collection<String> members = List.of();

  QuotaDesk(String vm) {
    this.vm = vm;
  }

  /**
   * Takes the fleet as it is now.
   *
   * @param all the VMs that are registered; each owns an equal part
   * @param alive those that this VM can reach, and itself
   */
  void onFleet(Collection<String> all, Collection<String> alive) {
    members = List.copyOf(all);
    keepers.clear();
    for (int lot = 0; lot < LOTS; lot++) {
      keepers.put(lot, Rendezvous.first("allowance/" + lot, alive).orElse(vm));
    }
  }

  private String keeper(String customer) {
    return keepers.getOrDefault(Math.floorMod(customer.hashCode(), LOTS), vm);
  }

  private CustomerGate gate(Customer customer, long now) {
    CustomerGate gate =
        gates.computeIfAbsent(
            customer.name(), any -> new CustomerGate(customer.allowance(), members.size(), now));
    gate.allow(customer.allowance(), now);
    return gate;
  }

  /** Asks for one operation of a customer. */
  boolean admit(Customer customer, long now) {
    return gate(customer, now).admit(now);
  }

  /** Gives back the operation that was admitted and did not run. */
  void putBack(Customer customer, long now) {
    gate(customer, now).putBack(now);
  }

  /** Applies the parts that this VM keeps to itself, and lets old parts run out. */
  void tick(long now) {
    for (Map.Entry<String, CustomerGate> entry : gates.entrySet()) {
      String customer = entry.getKey();
      if (keeper(customer).equals(vm)) {
        DemandShares shares = kept.computeIfAbsent(customer, any -> new DemandShares());
        shares.report(vm, entry.getValue().measureDemand(now), now);
        entry.getValue().lease(shares.share(vm, members, now), now);
      }
      entry.getValue().expire(members.size(), now);
    }
  }

  /** Adds what a VM must be told. */
  void fill(FleetPulse.Builder pulse, String receiver, long now) {
    for (Map.Entry<String, CustomerGate> entry : gates.entrySet()) {
      if (keeper(entry.getKey()).equals(receiver)) {
        pulse.addDemands(
            CustomerDemand.newBuilder()
                .setCustomer(entry.getKey())
                .setPerSecond(entry.getValue().measureDemand(now)));
      }
    }
    for (String customer : reported.getOrDefault(receiver, Set.of())) {
      DemandShares shares = kept.get(customer);
      if (shares != null && keeper(customer).equals(vm)) {
        pulse.addShares(
            CustomerShare.newBuilder()
                .setCustomer(customer)
                .setShare(shares.share(receiver, members, now)));
      }
    }
  }

  /** Takes what a VM told. */
  void onPulse(String sender, FleetPulse pulse, long now) {
    List<String> customers = new ArrayList<>();
    for (CustomerDemand demand : pulse.getDemandsList()) {
      customers.add(demand.getCustomer());
      kept.computeIfAbsent(demand.getCustomer(), any -> new DemandShares())
          .report(sender, demand.getPerSecond(), now);
    }
    if (!customers.isEmpty()) {
      reported.put(sender, Set.copyOf(customers));
    }
    for (CustomerShare share : pulse.getSharesList()) {
      CustomerGate gate = gates.get(share.getCustomer());
      if (gate != null && keeper(share.getCustomer()).equals(sender)) {
        gate.lease(share.getShare(), now);
      }
    }
  }
}
