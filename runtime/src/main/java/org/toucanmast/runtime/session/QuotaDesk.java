package org.toucanmast.runtime.session;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanmast.core.allowance.HeldAllowance;
import org.toucanmast.core.allowance.TokenRequestBatcher;
import org.toucanmast.core.catalog.Customer;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.membership.Rendezvous;
import org.toucanmast.runtime.allowance.TokenCounts;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.fleet.FleetLinks;
import org.toucanmast.schema.TokenAsk;
import org.toucanmast.schema.TokenCount;
import org.toucanmast.schema.TokenGrant;
import org.toucanmast.schema.TokenReturn;

/**
 * The customers' allowances: asks their keepers for a token for each operation, and answers for the
 * customers that this VM keeps.
 */
final class QuotaDesk {
  /** Customers are kept in this many lots, so that a VM needs few links for them. */
  private static final int LOTS = 8;

  /** How long an operation waits for a token of the keeper, in milliseconds: many round trips. */
  private static final long ASK_LIFE_IN_MILLISECONDS = 60;

  /** The same while this VM has just started, and with it perhaps all: code is slow at first. */
  private static final long FIRST_ASK_LIFE_IN_MILLISECONDS = 250;

  /** A VM lends its part for this long after a pulse that says so; some pulses may be lost. */
  private static final long LENT_FOR_IN_MILLISECONDS = 500;

  /** VMs that run for less than this count as just started; a kill of all takes a second or two. */
  private static final long RESTART_IN_MILLISECONDS = 4_000;

  /** Why an operation got no token. */
  enum Refusal {
    /** The customer has sent what it may. */
    USED_UP("is used up"),
    /** The VM that keeps the allowance did not answer in time. */
    KEEPER_SILENT("is not known, its keeper is silent");

    private final String text;

    Refusal(String text) {
      this.text = text;
    }

    /** Returns the end of a sentence that begins with the allowance. */
    String text() {
      return text;
    }
  }

  private record Waiting(Runnable onAdmitted, Consumer<Refusal> onRefused) {}

  private record Loan(int lots, long startedAt, long at) {}

  private final Vertx vertx;
  private final VmClock clock;
  private final EventLog log;
  private final String vm;
  private final FleetLinks links;
  private final Map<String, Allowance> allowances = new HashMap<>();
  private final Map<String, HeldAllowance> kept = new HashMap<>();
  private final String[] keepers = new String[LOTS];
  private final Map<String, Loan> loans = new HashMap<>();
  private final Map<String, TokenRequestBatcher<Waiting>> askers = new HashMap<>();
  private final Map<String, Map<String, Integer>> unused = new HashMap<>();
  private Set<String> members = Set.of();
  private final long startedAt;
  private boolean asking;

  QuotaDesk(Vertx vertx, VmClock clock, EventLog log, String vm, FleetLinks links) {
    this.vertx = vertx;
    this.log = log;
    this.clock = clock;
    this.vm = vm;
    this.links = links;
    this.startedAt = clock.now();
    Arrays.fill(keepers, vm);
  }

  /**
   * Takes the fleet as it is now.
   *
   * @param all the VMs that are registered; each owns an equal part
   * @param alive those that this VM can reach, and itself
   */
  void onFleet(Collection<String> all, Collection<String> alive) {
    members = Set.copyOf(all);
    loans.keySet().retainAll(members);
    for (int lot = 0; lot < LOTS; lot++) {
      keepers[lot] = Rendezvous.first("allowance/" + lot, alive).orElse(vm);
    }
    keepOwnLots();
  }

  /** Takes the allowances in force. */
  void onCatalog(Collection<Customer> customers) {
    allowances.clear();
    customers.forEach(customer -> allowances.put(customer.name(), customer.allowance()));
    kept.keySet().retainAll(allowances.keySet());
    keepOwnLots();
  }

  /** Buckets fill from when this VM becomes the keeper, not from the first operation. */
  private void keepOwnLots() {
    long now = clock.now();
    allowances.forEach(
        (customer, allowance) -> {
          if (keepers[lot(customer)].equals(vm)) {
            keep(customer, allowance, now);
          }
        });
  }

  private static int lot(String customer) {
    return Math.floorMod(customer.hashCode(), LOTS);
  }

  private double lent(int lot, long now) {
    int lenders = keepers[lot].equals(vm) ? 1 : 0;
    for (Loan loan : loans.values()) {
      if ((loan.lots() & 1 << lot) != 0 && now - loan.at() <= LENT_FOR_IN_MILLISECONDS) {
        lenders++;
      }
    }
    return (double) lenders / Math.max(1, members.size());
  }

  private HeldAllowance keep(String customer, Allowance allowance, long now) {
    double lent = lent(lot(customer), now);
    HeldAllowance known =
        kept.computeIfAbsent(customer, any -> new HeldAllowance(allowance, lent, now));
    known.resize(allowance, lent, now);
    if (hasFleetRestarted(now) && known.fillAfterRestart(allowance)) {
      log.log(
          EventKind.ALLOWANCE,
          "filled after a restart of all VMs",
          "customer",
          customer,
          "allowance",
          allowance,
          "lent",
          lent);
    }
    return known;
  }

  /**
   * Returns whether this VM hears of all others, and all of them are new like itself; a VM that
   * knows of no other yet cannot tell.
   */
  private boolean hasFleetRestarted(long now) {
    return now - startedAt < RESTART_IN_MILLISECONDS
        && members.size() > 1
        && loans.size() + 1 >= members.size()
        && loans.values().stream()
            .allMatch(loan -> now - loan.startedAt() < RESTART_IN_MILLISECONDS);
  }

  /** Asks for one operation of a customer; one of the two is called, perhaps at once. */
  void admit(Customer customer, Runnable onAdmitted, Consumer<Refusal> onRefused) {
    long now = clock.now();
    String keeper = keepers[lot(customer.name())];
    if (keeper.equals(vm)) {
      int taken = keep(customer.name(), customer.allowance(), now).take(1, now);
      if (taken == 1) {
        onAdmitted.run();
      } else {
        onRefused.accept(Refusal.USED_UP);
      }
      return;
    }
    askers
        .computeIfAbsent(keeper, any -> new TokenRequestBatcher<>(FIRST_ASK_LIFE_IN_MILLISECONDS))
        .add(customer.name(), new Waiting(onAdmitted, onRefused), now, now + askLife(now));
    sendSoon();
  }

  private long askLife(long now) {
    boolean isNew = now - startedAt < RESTART_IN_MILLISECONDS;
    return isNew ? FIRST_ASK_LIFE_IN_MILLISECONDS : ASK_LIFE_IN_MILLISECONDS;
  }

  private void sendSoon() {
    if (!asking) {
      asking = true;
      vertx.runOnContext(later -> sendAll());
    }
  }

  private void sendAll() {
    asking = false;
    unused.forEach(
        (keeper, tokens) ->
            links.giveBack(
                keeper, TokenReturn.newBuilder().addAllReturned(TokenCounts.of(tokens)).build()));
    unused.clear();
    long now = clock.now();
    askers.forEach(
        (keeper, asker) -> {
          TokenRequestBatcher.TokenRequest ask = asker.ask(asker.customers(), now);
          if (!ask.counts().isEmpty()) {
            links.ask(
                keeper,
                TokenAsk.newBuilder()
                    .setAskId(ask.id())
                    .addAllAsks(TokenCounts.of(ask.counts()))
                    .build());
          }
        });
  }

  /** Answers a VM that asks for tokens of customers kept here. */
  TokenGrant onAsk(TokenAsk ask) {
    long now = clock.now();
    Map<String, Integer> granted = new HashMap<>();
    for (TokenCount wanted : ask.getAsksList()) {
      Allowance allowance = allowances.get(wanted.getCustomer());
      granted.put(
          wanted.getCustomer(),
          allowance == null
              ? 0
              : keep(wanted.getCustomer(), allowance, now).take(wanted.getCount(), now));
    }
    return TokenGrant.newBuilder()
        .setAskId(ask.getAskId())
        .addAllGrants(TokenCounts.of(granted))
        .build();
  }

  /** Takes a keeper's answer; what was not granted is refused at once. */
  void onGrant(String keeper, TokenGrant grant) {
    TokenRequestBatcher<Waiting> asker = askers.get(keeper);
    if (asker == null) {
      return;
    }
    Map<String, Integer> granted = TokenCounts.byCustomer(grant.getGrantsList());
    TokenRequestBatcher.Granted<Waiting> outcome =
        asker.onGrant(grant.getAskId(), granted, clock.now());
    outcome.unused().forEach((customer, count) -> returnLater(keeper, customer, count));
    List<Waiting> refused = new ArrayList<>();
    for (String customer : granted.keySet()) {
      for (int missing = asker.missing(customer); missing > 0; missing--) {
        refused.add(asker.next(customer));
      }
    }
    outcome.admitted().forEach(item -> item.onAdmitted().run());
    refused.forEach(item -> item.onRefused().accept(Refusal.USED_UP));
  }

  /** Gives back the token of an operation that did not run. */
  void putBack(Customer customer) {
    String keeper = keepers[lot(customer.name())];
    if (keeper.equals(vm)) {
      onReturned(customer.name(), 1);
    } else {
      returnLater(keeper, customer.name(), 1);
    }
  }

  private void returnLater(String keeper, String customer, int count) {
    unused.computeIfAbsent(keeper, any -> new HashMap<>()).merge(customer, count, Integer::sum);
    sendSoon();
  }

  /** Takes tokens back that another VM did not use. */
  void onReturn(TokenReturn returned) {
    returned.getReturnedList().forEach(item -> onReturned(item.getCustomer(), item.getCount()));
  }

  private void onReturned(String customer, int count) {
    HeldAllowance known = kept.get(customer);
    if (known != null) {
      known.putBack(count, clock.now());
    }
  }

  /** Lets asks run out; a keeper that does not answer is as good as none. */
  void tick() {
    long now = clock.now();
    for (TokenRequestBatcher<Waiting> asker : List.copyOf(askers.values())) {
      asker.expireAsks(now);
      asker.expireRequests(now).forEach(item -> item.onRefused().accept(Refusal.KEEPER_SILENT));
    }
  }

  /** Returns the lots for which this VM asks another, one bit each. */
  int lentTo(String other) {
    int lots = 0;
    for (int lot = 0; lot < LOTS; lot++) {
      if (keepers[lot].equals(other)) {
        lots |= 1 << lot;
      }
    }
    return lots;
  }

  /**
   * Takes the lots for which a VM asks this one.
   *
   * @param uptime how long the VM's process runs, in milliseconds
   */
  void onLent(String sender, int lots, long uptime) {
    long now = clock.now();
    loans.put(sender, new Loan(lots, now - uptime, now));
  }

  /** Returns how long this VM's process runs, in milliseconds. */
  long uptime() {
    return clock.now() - startedAt;
  }
}
