package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.failover.DepartedEndpoints;
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

  /**
   * The members of a group are taken for all of them when they have been known for this long:
   * entries that expired while the store was down are back within two seconds of its return.
   */
  private static final long LISTING_TIME_IN_MILLISECONDS = 3_000;

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
  private final DepartedEndpoints departed = new DepartedEndpoints();
  private long positionsForgottenAt = Long.MIN_VALUE;
  private Position shownByPrimary = Position.NONE;
  private long shownAt = Long.MIN_VALUE;
  private Optional<Position> acknowledged = Optional.empty();
  private long memberSince = NEVER;
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
    long now = context.clock().now();
    memberSince = Math.min(memberSince, now);
    departed.onEntry(entry, acknowledged, now);
  }

  void onEndpointRemoved(String endpointId) {
    departed.onRemoved(endpointId, acknowledged, context.clock().now());
  }

  /**
   * Records a position that the primary has shown.
   *
   * @param askedAt when the primary was asked, on the steady clock in milliseconds
   * @param committed whether it has shown it with the acknowledgement of a commit
   */
  void onPrimaryPosition(Position position, long askedAt, boolean committed) {
    if (askedAt < positionsForgottenAt) {
      return;
    }
    shownByPrimary = shownByPrimary.maximum(position);
    shownAt = Math.max(shownAt, askedAt);
    if (acknowledged.isEmpty()) {
      departed.onAcknowledged(position);
    }
    if (acknowledged.isEmpty() || committed) {
      acknowledged = Optional.of(position.maximum(acknowledged.orElse(position)));
    }
  }

  /** Records that an endpoint other than the primary has shown a position of its log. */
  void onReplicaPosition(Position position) {
    departed.onReceived(position, context.clock().now());
  }

  /** Records that the group has a usable primary. */
  void onPrimaryUsable() {
    permission.onPrimaryUsable();
  }

  /** Records that another endpoint leads the group now, or the same one again. */
  void onPrimary() {
    // The former primary may have shown positions that were rolled back.
    forgetPositions();
    endHold("the group has a primary");
    if (orderedAt != NEVER) {
      orderedAt = NEVER;
      ordersPausedUntil = context.clock().now();
    }
  }

  private void forgetPositions() {
    positionsForgottenAt = context.clock().now();
    shownByPrimary = Position.NONE;
    shownAt = Long.MIN_VALUE;
    acknowledged = Optional.empty();
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
    if (isolated) {
      // Another gateway may serve the group meanwhile.
      forgetPositions();
    }
  }

  /** Replaces nothing at a VM that is not the assigned gateway of the group. */
  void onNotAssigned() {
    // Commits are acknowledged through another gateway now.
    forgetPositions();
    endHold("not the assigned gateway");
  }

  /**
   * Takes the next step of a replacement.
   *
   * @param primary the pool of the primary; empty if none is known
   * @param necessary whether the group needs another primary
   */
  void sweep(Optional<EndpointPool> primary, boolean necessary, long now) {
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
    candidates.forEach(candidate -> departed.onReceived(candidate.received(), now));
    Optional<SynchronousSuccession> synchronous = synchronousSuccession();
    int answering =
        candidates.size() + (primary.isPresent() && primary.get().isReachable(now) ? 1 : 0);
    int refusing = synchronous.isPresent() ? refusingEndpoints(now) : 0;
    boolean majorityAnswered = permission.mayChoose(answering + refusing, pools.size(), now);
    Optional<String> candidate =
        synchronous
            .map(rule -> synchronousChoice(rule, candidates, working, majorityAnswered, now))
            .orElseGet(() -> majorityAnswered ? Succession.choose(candidates) : Optional.empty());
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
        majorityAnswered,
        "missing",
        missingEndpoints(candidates),
        "acknowledged",
        acknowledged.map(Position::toString).orElse("unknown"),
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

  /**
   * Returns an endpoint that has received every acknowledged commit; empty if none is known to
   * have.
   */
  private Optional<String> synchronousChoice(
      SynchronousSuccession rule,
      List<Succession.Candidate> candidates,
      boolean working,
      boolean majorityAnswered,
      long now) {
    if (working) {
      // What the primary shows covers all commits; writes are held back before the last choice.
      return majorityAnswered && !shownByPrimary.equals(Position.NONE)
          ? rule.holding(
              candidates.stream().filter(Succession.Candidate::mayWork).toList(), shownByPrimary)
          : Optional.empty();
    }
    boolean allMembersKnown = now - memberSince >= LISTING_TIME_IN_MILLISECONDS;
    if (allMembersKnown && rule.hasAllCommits(missingEndpoints(candidates))) {
      return rule.mostAdvanced(candidates);
    }
    return majorityAnswered
        ? acknowledged.flatMap(position -> rule.holding(candidates, position))
        : Optional.empty();
  }

  /**
   * Returns the number of endpoints that have ended on machines that this VM is not cut off from.
   */
  private int refusingEndpoints(long now) {
    return (int) pools.values().stream().filter(pool -> pool.suspicion().isRefusing(now)).count();
  }

  /** Returns the number of endpoints that may have received commits and are not candidates. */
  private int missingEndpoints(List<Succession.Candidate> candidates) {
    List<String> missing = new ArrayList<>(pools.keySet());
    candidates.forEach(candidate -> missing.remove(candidate.endpointId()));
    return missing.size() + departed.count();
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
