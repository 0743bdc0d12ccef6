package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.failover.DepartedReplicas;
import org.toucanmast.core.failover.OrderPermission;
import org.toucanmast.core.failover.Succession;
import org.toucanmast.core.failover.SynchronousSuccession;
import org.toucanmast.core.group.Position;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.port.PromotionOrders;

/**
 * Replaces the primary of a group: polls the endpoints for their positions, chooses one of them and
 * orders its promotion.
 *
 * <p>In a group with synchronous replicas the chosen endpoint has received all acknowledged
 * commits. While a primary that still works is replaced, writes are held back from it: first the
 * running ones end, then the primary shows its position, then the others are polled.
 */
final class PrimaryReplacement {
  /** A promotion is ordered again when the previous order has had no effect for this long. */
  private static final long PROMOTION_TIMEOUT_IN_MILLISECONDS = 2_500;

  /** Delay before the next poll when no promotion could be ordered, in milliseconds. */
  private static final long PROMOTION_RETRY_DELAY_IN_MILLISECONDS = 200;

  /** Writes are held back from a working primary for this long at most: two promotions. */
  private static final long MAXIMUM_HOLD_IN_MILLISECONDS = 5_000;

  private static final long NEVER = Long.MAX_VALUE;

  private final GatewayContext context;
  private final String group;
  private final Map<String, EndpointPool> pools;
  private final CandidatePoll poll;
  private final Consumer<EndpointPool> prober;
  private final WriteHold hold;
  private final OrderPermission permission = new OrderPermission();
  private final DepartedReplicas departed = new DepartedReplicas();
  private String lastPrimary = "";
  private long lastTerm;
  private Position shownByPrimary = Position.NONE;
  private long shownAt = Long.MIN_VALUE;
  private long assignedSince = NEVER;
  private long ordersPausedUntil = Long.MIN_VALUE;
  private long orderedAt = NEVER;

  /**
   * Creates an instance that replaces no primary.
   *
   * @param prober asks an endpoint for its position as the primary
   * @param hasRunningWrites tells whether writes or commits are running at an endpoint
   */
  PrimaryReplacement(
      GatewayContext context,
      String group,
      Map<String, EndpointPool> pools,
      Consumer<EndpointPool> prober,
      Predicate<EndpointPool> hasRunningWrites) {
    this.context = context;
    this.group = group;
    this.pools = pools;
    this.prober = prober;
    this.hold = new WriteHold(hasRunningWrites);
    this.poll = new CandidatePoll(context, pools);
  }

  void onEndpointUpdated(EndpointEntry entry) {
    departed.onEntry(entry, shownByPrimary, context.clock().now());
  }

  void onEndpointRemoved(String endpointId) {
    departed.onRemoved(endpointId, shownByPrimary, context.clock().now());
  }

  /**
   * Records a position that the primary has shown.
   *
   * @param askedAt when the primary was asked, on the steady clock in milliseconds
   */
  void onPrimaryPosition(Position position, long askedAt) {
    shownByPrimary = shownByPrimary.maximum(position);
    shownAt = Math.max(shownAt, askedAt);
  }

  /** Records that an endpoint other than the primary has shown a position of its log. */
  void onReplicaPosition(Position position) {
    departed.onReceived(position, context.clock().now());
  }

  /** Records that the group has a usable primary. */
  void onPrimaryUsable() {
    permission.onPrimaryUsable();
  }

  /**
   * Records which endpoint leads the group now.
   *
   * @param term the newest term in which a primary was confirmed
   */
  void onPrimary(String endpointId, long term) {
    lastPrimary = endpointId;
    // The former primary may have shown positions that were rolled back.
    shownByPrimary = Position.NONE;
    shownAt = Long.MIN_VALUE;
    if (term > lastTerm) {
      lastTerm = term;
      departed.onNewPrimary();
    }
    endHold("another primary leads");
    if (orderedAt != NEVER) {
      orderedAt = NEVER;
      ordersPausedUntil = context.clock().now();
    }
  }

  /** Returns for how long an order has been in progress, in milliseconds; empty if none is. */
  Optional<Long> millisecondsSinceOrder(long now) {
    return orderedAt == NEVER ? Optional.empty() : Optional.of(now - orderedAt);
  }

  /** Returns whether a candidate is being chosen or a promotion was ordered. */
  boolean isRunning() {
    return poll.isRunning() || orderedAt != NEVER;
  }

  /** Returns whether writes and commits are held back from an endpoint. */
  boolean holdsWritesBackFrom(EndpointPool pool) {
    return hold.isInEffect(pool);
  }

  /** Records whether most of the VMs that this VM monitors do not answer it. */
  void onIsolation(boolean isolated, long now) {
    permission.onIsolation(isolated, now);
  }

  /** Replaces nothing at a VM that is not the assigned gateway of the group. */
  void onNotAssigned() {
    assignedSince = NEVER;
    endHold("not the assigned gateway");
  }

  /**
   * Takes the next step of a replacement.
   *
   * @param primary the pool of the primary; empty if none is known
   * @param necessary whether the group needs another primary
   */
  void sweep(Optional<EndpointPool> primary, boolean necessary, long now) {
    assignedSince = Math.min(assignedSince, now);
    if (!necessary) {
      endHold("the primary need not be replaced");
      return;
    }
    boolean working = primary.isPresent() && !hasFailed(primary.get(), now);
    if (working && hold.duration(now) > MAXIMUM_HOLD_IN_MILLISECONDS) {
      postpone("the primary could not be replaced in time", true, now);
    } else if (primary.isPresent() && !working && synchronousSuccession().isPresent()) {
      holdBackFromFailed(primary.get(), now);
    }
    if (now < ordersPausedUntil
        || !permission.mayPoll(now)
        || !context.promotions().mayOrder(group)) {
      return;
    }
    if (poll.isRunning()) {
      considerCandidates(primary, working, now);
    } else if (!working || !hold.isInEffect() || hasShownFinalPosition(primary.get(), now)) {
      poll.start(primary, now);
    }
  }

  private boolean hasFailed(EndpointPool primary, long now) {
    return primary.suspicion().hasFailed(context.localHealth(), now);
  }

  private Optional<SynchronousSuccession> synchronousSuccession() {
    int replicas = context.synchronousReplicas(group);
    return replicas == 0 ? Optional.empty() : Optional.of(new SynchronousSuccession(replicas));
  }

  /**
   * Holds writes back from a primary that does not answer, and ends those that it has not answered:
   * it may acknowledge them after the other endpoints have reported their positions.
   */
  private void holdBackFromFailed(EndpointPool primary, long now) {
    if (hold.beginForFailed(primary, now)) {
      logHold("writes held back from a failed primary", primary.entry().id());
      poll.end();
      primary.connectionsAwaitingReplySince(now).forEach(EndpointConnection::close);
    }
  }

  /** Returns whether the primary has shown a position after its last write ended. */
  private boolean hasShownFinalPosition(EndpointPool primary, long now) {
    long quietSince = hold.quietSince(now);
    if (shownAt >= quietSince) {
      return true;
    }
    if (quietSince != NEVER) {
      prober.accept(primary);
    }
    return false;
  }

  private void considerCandidates(Optional<EndpointPool> primary, boolean working, long now) {
    List<Succession.Candidate> candidates = List.copyOf(poll.candidates());
    boolean allAnswered = candidates.size() >= pools.size() - (primary.isPresent() ? 1 : 0);
    if (!allAnswered && !poll.isDue(now)) {
      return;
    }
    poll.end();
    int answering =
        candidates.size() + (primary.isPresent() && primary.get().isReachable(now) ? 1 : 0);
    boolean conclusive = permission.mayChoose(answering, pools.size(), now);
    Optional<String> candidate = conclusive ? successor(candidates, working) : Optional.empty();
    context.log().log(
        EventKind.PROMOTION,
        "considered",
        "group",
        group,
        "leader",
        primary.map(pool -> pool.entry().id()).orElse("none"),
        "candidates",
        candidates,
        "conclusive",
        conclusive,
        "silent",
        silentReplicas(candidates),
        "acknowledged",
        acknowledgedPosition(),
        "successor",
        candidate.orElse("none"));
    if (candidate.isEmpty()) {
      postpone("no endpoint may lead yet", working, now);
    } else if (working && synchronousSuccession().isPresent() && !hold.isInEffect()) {
      hold.begin(primary.get(), now);
      logHold("writes held back", primary.get().entry().id());
    } else {
      orderPromotion(candidate.get(), working, now);
    }
  }

  private Optional<String> successor(List<Succession.Candidate> candidates, boolean working) {
    Optional<SynchronousSuccession> rule = synchronousSuccession();
    if (rule.isEmpty()) {
      return Succession.choose(candidates);
    }
    Optional<Position> acknowledged = acknowledgedPosition();
    return working
        ? acknowledged.flatMap(position -> rule.get().planned(candidates, position))
        : rule.get().afterLoss(candidates, silentReplicas(candidates), acknowledged);
  }

  /**
   * Returns a position that covers the commits that were acknowledged through this gateway; empty
   * if it has not seen the primary's position since the group was assigned to it.
   */
  private Optional<Position> acknowledgedPosition() {
    return shownAt >= assignedSince ? Optional.of(shownByPrimary) : Optional.empty();
  }

  /** Returns the number of replicas that may have received commits and are not candidates. */
  private int silentReplicas(List<Succession.Candidate> candidates) {
    List<String> silent = new ArrayList<>(pools.keySet());
    candidates.forEach(candidate -> silent.remove(candidate.endpointId()));
    silent.remove(lastPrimary);
    return silent.size() + departed.count(lastPrimary);
  }

  private void orderPromotion(String endpointId, boolean working, long now) {
    orderedAt = now;
    ordersPausedUntil = now + PROMOTION_TIMEOUT_IN_MILLISECONDS;
    context
        .promotions()
        .promote(group, endpointId)
        .onSuccess(
            outcome -> {
              if (outcome != PromotionOrders.Outcome.ACCEPTED) {
                postpone("the promotion was not accepted", working, context.clock().now());
              }
            });
  }

  /** Tries to replace the primary again after a delay; one that works goes on until then. */
  private void postpone(String reason, boolean working, long now) {
    ordersPausedUntil = now + PROMOTION_RETRY_DELAY_IN_MILLISECONDS;
    if (working) {
      endHold(reason);
    }
  }

  private void endHold(String reason) {
    if (hold.end()) {
      logHold("writes no longer held back", reason);
    }
  }

  private void logHold(String message, String detail) {
    context.log().log(EventKind.PROMOTION, message, "group", group, "detail", detail);
  }
}
