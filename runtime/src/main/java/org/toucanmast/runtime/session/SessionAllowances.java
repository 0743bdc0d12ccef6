package org.toucanmast.runtime.session;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.allowance.HeldAllowance;
import org.toucanmast.core.allowance.TokenRequestBatcher;
import org.toucanmast.core.allowance.TokenRequestTimeout;
import org.toucanmast.core.catalog.Customer;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.link.LinkUse;
import org.toucanmast.core.link.LocalHealth;
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
 * The customers' allowances at a VM that serves sessions.
 *
 * <p>Requests a token from the allowance holder for each operation, and answers token requests for
 * the customers whose allowances this VM holds.
 */
final class SessionAllowances {
  /** Number of partitions of the customers; few, so that a VM keeps links to few holders. */
  private static final int PARTITIONS = 8;

  /**
   * Minimum time that an operation waits for a token while this VM, and perhaps every VM, has just
   * started: a new JVM runs code slowly.
   */
  private static final long STARTUP_TOKEN_REQUEST_TIMEOUT_IN_MILLISECONDS = 250;

  /** How long a heartbeat lends the sender's share; tolerates the loss of some heartbeats. */
  private static final long LEND_DURATION_IN_MILLISECONDS = 500;

  /** How long a VM counts as just started; longer than killing all VMs takes, a second or two. */
  private static final long STARTUP_PERIOD_IN_MILLISECONDS = 4_000;

  /**
   * Longest time that an operation waits for a token because this VM is short of processor time;
   * about half of the shortest deadline in use, so that a refusal still leaves time for a retry.
   */
  private static final long MAXIMUM_EXTENDED_TIMEOUT_IN_MILLISECONDS = 800;

  /** Why an operation was refused. */
  enum Refusal {
    /** The customer's allowance is used up. */
    USED_UP("is used up"),
    /** The allowance holder did not answer in time. */
    KEEPER_SILENT("is not known, its keeper is silent");

    private final String text;

    Refusal(String text) {
      this.text = text;
    }

    /** Returns the predicate of a sentence whose subject is the allowance. */
    String text() {
      return text;
    }
  }

  private record PendingOperation(Runnable onAdmitted, Consumer<Refusal> onRefused) {}

  private record LentShares(int partitions, long lenderStartedAt, long receivedAt) {}

  private final Vertx vertx;
  private final VmClock clock;
  private final EventLog log;
  private final String vm;
  private final FleetLinks links;
  private final Map<String, Allowance> allowances = new HashMap<>();
  private final Map<String, HeldAllowance> heldAllowances = new HashMap<>();
  private final String[] holders = new String[PARTITIONS];
  private final Map<String, LentShares> lentShares = new HashMap<>();
  private final Map<String, TokenRequestBatcher<PendingOperation>> batchersByHolder =
      new HashMap<>();
  private final Map<String, TokenRequestTimeout> timeoutsByHolder = new HashMap<>();
  private final Map<String, Map<String, Integer>> unusedTokens = new HashMap<>();
  private Set<String> members = Set.of();
  private final long startedAt;
  private final LocalHealth localHealth;
  private boolean sendScheduled;

  SessionAllowances(
      Vertx vertx,
      VmClock clock,
      EventLog log,
      String vm,
      FleetLinks links,
      LocalHealth localHealth) {
    this.localHealth = localHealth;
    this.vertx = vertx;
    this.log = log;
    this.clock = clock;
    this.vm = vm;
    this.links = links;
    this.startedAt = clock.now();
    Arrays.fill(holders, vm);
  }

  /**
   * Assigns the partitions to holders after the fleet has changed.
   *
   * @param registered the VMs of the fleet; each has an equal share of every allowance
   * @param reachable the VMs that can become holders: those that this VM can reach, and itself
   */
  void onFleetChanged(Collection<String> registered, Collection<String> reachable) {
    members = Set.copyOf(registered);
    lentShares.keySet().retainAll(members);
    timeoutsByHolder.keySet().retainAll(members);
    for (int partition = 0; partition < PARTITIONS; partition++) {
      holders[partition] = Rendezvous.first("allowance/" + partition, reachable).orElse(vm);
    }
    Set<String> lendingPeers = new HashSet<>(List.of(holders));
    lendingPeers.remove(vm);
    links.setPeers(LinkUse.LENDING, lendingPeers);
    holdOwnPartitions();
  }

  /** Sets the customers whose allowances are in force. */
  void onCatalog(Collection<Customer> customers) {
    allowances.clear();
    customers.forEach(customer -> allowances.put(customer.name(), customer.allowance()));
    heldAllowances.keySet().retainAll(allowances.keySet());
    holdOwnPartitions();
  }

  /**
   * Creates the buckets of the customers whose holder is this VM, so that they fill from now on and
   * not only from the first operation.
   */
  private void holdOwnPartitions() {
    long now = clock.now();
    allowances.forEach(
        (customer, allowance) -> {
          if (holders[partition(customer)].equals(vm)) {
            heldAllowance(customer, allowance, now);
          }
        });
  }

  private static int partition(String customer) {
    return Math.floorMod(customer.hashCode(), PARTITIONS);
  }

  private double lentFraction(int partition, long now) {
    int lenders = holders[partition].equals(vm) ? 1 : 0;
    for (LentShares shares : lentShares.values()) {
      if ((shares.partitions() & 1 << partition) != 0
          && now - shares.receivedAt() <= LEND_DURATION_IN_MILLISECONDS) {
        lenders++;
      }
    }
    return (double) lenders / Math.max(1, members.size());
  }

  private HeldAllowance heldAllowance(String customer, Allowance allowance, long now) {
    double lentFraction = lentFraction(partition(customer), now);
    HeldAllowance held =
        heldAllowances.computeIfAbsent(
            customer, key -> new HeldAllowance(allowance, lentFraction, now));
    held.resize(allowance, lentFraction, now);
    if (hasFleetRestarted(now) && held.fillAfterRestart(allowance)) {
      log.log(
          EventKind.ALLOWANCE,
          "token bucket filled after a restart of all VMs",
          "customer",
          customer,
          "allowance",
          allowance,
          "lent",
          lentFraction);
    }
    return held;
  }

  /**
   * Returns whether this VM and all its peers have just started.
   *
   * <p>False until all peers have sent a heartbeat, and if no peer is known: a VM alone cannot tell
   * a restart of the fleet from its own.
   */
  private boolean hasFleetRestarted(long now) {
    return now - startedAt < STARTUP_PERIOD_IN_MILLISECONDS
        && members.size() > 1
        && lentShares.size() + 1 >= members.size()
        && lentShares.values().stream()
            .allMatch(shares -> now - shares.lenderStartedAt() < STARTUP_PERIOD_IN_MILLISECONDS);
  }

  /**
   * Takes or requests a token for one operation of a customer.
   *
   * <p>Calls exactly one of the two callbacks, possibly before this method returns.
   */
  void admit(Customer customer, Runnable onAdmitted, Consumer<Refusal> onRefused) {
    long now = clock.now();
    String holder = holders[partition(customer.name())];
    if (holder.equals(vm)) {
      int taken = heldAllowance(customer.name(), customer.allowance(), now).take(1, now);
      if (taken == 1) {
        onAdmitted.run();
      } else {
        onRefused.accept(Refusal.USED_UP);
      }
      return;
    }
    batchersByHolder
        .computeIfAbsent(
            holder, key -> new TokenRequestBatcher<>(TokenRequestTimeout.maximumInMilliseconds()))
        .add(
            customer.name(),
            new PendingOperation(onAdmitted, onRefused),
            now,
            now + tokenRequestTimeout(holder, now));
    scheduleSend();
  }

  private long tokenRequestTimeout(String holder, long now) {
    boolean isNew = now - startedAt < STARTUP_PERIOD_IN_MILLISECONDS;
    long minimum = isNew ? STARTUP_TOKEN_REQUEST_TIMEOUT_IN_MILLISECONDS : 0;
    long timeout = Math.max(minimum, timeoutOf(holder).inMilliseconds());
    long extended = localHealth.extended(timeout, now);
    return Math.max(timeout, Math.min(extended, MAXIMUM_EXTENDED_TIMEOUT_IN_MILLISECONDS));
  }

  private TokenRequestTimeout timeoutOf(String holder) {
    return timeoutsByHolder.computeIfAbsent(holder, key -> new TokenRequestTimeout());
  }

  private void scheduleSend() {
    if (!sendScheduled) {
      sendScheduled = true;
      vertx.runOnContext(fired -> sendRequests());
    }
  }

  private void sendRequests() {
    sendScheduled = false;
    unusedTokens.forEach(
        (holder, tokens) ->
            links.returnTokens(
                holder, TokenReturn.newBuilder().addAllReturned(TokenCounts.of(tokens)).build()));
    unusedTokens.clear();
    long now = clock.now();
    batchersByHolder.forEach(
        (holder, batcher) -> {
          TokenRequestBatcher.TokenRequest request =
              batcher.createRequest(batcher.customers(), now);
          if (!request.counts().isEmpty()) {
            links.requestTokens(
                holder,
                TokenAsk.newBuilder()
                    .setAskId(request.id())
                    .addAllAsks(TokenCounts.of(request.counts()))
                    .build());
          }
        });
  }

  /** Answers a token request for customers whose allowances this VM holds. */
  TokenGrant onTokenRequest(TokenAsk request) {
    long now = clock.now();
    Map<String, Integer> granted = new HashMap<>();
    for (TokenCount requested : request.getAsksList()) {
      Allowance allowance = allowances.get(requested.getCustomer());
      granted.put(
          requested.getCustomer(),
          allowance == null
              ? 0
              : heldAllowance(requested.getCustomer(), allowance, now)
                  .take(requested.getCount(), now));
    }
    return TokenGrant.newBuilder()
        .setAskId(request.getAskId())
        .addAllGrants(TokenCounts.of(granted))
        .build();
  }

  /** Handles a holder's answer; operations without a token are refused immediately. */
  void onTokenGrant(String holder, TokenGrant grant) {
    TokenRequestBatcher<PendingOperation> batcher = batchersByHolder.get(holder);
    if (batcher == null) {
      return;
    }
    Map<String, Integer> granted = TokenCounts.byCustomer(grant.getGrantsList());
    TokenRequestBatcher.Granted<PendingOperation> outcome =
        batcher.onGrant(grant.getAskId(), granted, clock.now());
    outcome.answeredAfter().ifPresent(timeoutOf(holder)::onAnswer);
    outcome.unused().forEach((customer, count) -> scheduleReturn(holder, customer, count));
    List<PendingOperation> refused = new ArrayList<>();
    for (String customer : granted.keySet()) {
      for (int missing = batcher.tokensToRequest(customer); missing > 0; missing--) {
        refused.add(batcher.pollNext(customer));
      }
    }
    outcome.admitted().forEach(item -> item.onAdmitted().run());
    refused.forEach(item -> item.onRefused().accept(Refusal.USED_UP));
  }

  /**
   * Returns the token of an operation that had no effect to the customer from whose allowance it
   * was taken, whoever holds the operation's key now; anonymous callers use none.
   */
  void returnToken(String customer) {
    if (customer.equals(KeyClaim.ANONYMOUS)) {
      return;
    }
    String holder = holders[partition(customer)];
    if (holder.equals(vm)) {
      takeBack(customer, 1);
    } else {
      scheduleReturn(holder, customer, 1);
    }
  }

  private void scheduleReturn(String holder, String customer, int count) {
    unusedTokens
        .computeIfAbsent(holder, key -> new HashMap<>())
        .merge(customer, count, Integer::sum);
    scheduleSend();
  }

  /** Takes back tokens that a peer did not use. */
  void onTokenReturn(TokenReturn returned) {
    returned.getReturnedList().forEach(item -> takeBack(item.getCustomer(), item.getCount()));
  }

  private void takeBack(String customer, int count) {
    HeldAllowance held = heldAllowances.get(customer);
    if (held != null) {
      held.putBack(count, clock.now());
    }
  }

  /** Refuses operations whose holder did not answer in time; must be called periodically. */
  void expireTokenRequests() {
    long now = clock.now();
    for (TokenRequestBatcher<PendingOperation> batcher : List.copyOf(batchersByHolder.values())) {
      batcher.expireTokenRequests(now);
      batcher.expireOperations(now).forEach(item -> item.onRefused().accept(Refusal.KEEPER_SILENT));
    }
  }

  /** Returns the partitions for which this VM lends its share to another VM, one bit each. */
  int partitionsLentTo(String other) {
    int partitions = 0;
    for (int partition = 0; partition < PARTITIONS; partition++) {
      if (holders[partition].equals(other)) {
        partitions |= 1 << partition;
      }
    }
    return partitions;
  }

  /**
   * Records the partitions for which a peer lends its share to this VM.
   *
   * @param partitions the partitions, one bit each
   * @param uptimeInMilliseconds how long the peer's process has been running
   */
  void onSharesLent(String sender, int partitions, long uptimeInMilliseconds) {
    long now = clock.now();
    lentShares.put(sender, new LentShares(partitions, now - uptimeInMilliseconds, now));
  }

  /** Returns how long this VM has been running. */
  long uptimeInMilliseconds() {
    return clock.now() - startedAt;
  }
}
