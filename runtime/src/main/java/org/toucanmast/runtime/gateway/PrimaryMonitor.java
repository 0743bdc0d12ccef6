package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.failover.LeaderBelief;
import org.toucanmast.core.failover.Outage;
import org.toucanmast.core.failover.Succession;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.port.DialectException;
import org.toucanmast.runtime.port.EndpointStatus;
import org.toucanmast.runtime.port.PromotionOrders;

/**
 * Follows which endpoint of a group leads, keeps its position known, and replaces it.
 *
 * <p>Beginning a transaction takes no slot, and only an endpoint that leads accepts it: that is the
 * question by which this asks.
 */
final class PrimaryMonitor {
  /** The primary's position is asked for when it is older than this; well below any staleness. */
  private static final long MAXIMUM_POSITION_AGE_IN_MILLISECONDS = 300;

  /** A statement that waits this long at the primary makes this ask whether it still answers. */
  private static final long PROBE_AFTER_WAITING_IN_MILLISECONDS = 200;

  /** A question without an answer for this long counts as silence: many round trips. */
  private static final long PROBE_TIMEOUT_IN_MILLISECONDS = 250;

  /** Reads wait this long for the primary's position: a handshake and some round trips. */
  private static final long MAXIMUM_POSITION_WAIT_IN_MILLISECONDS = 250;

  /** Endpoints are asked this often while none is known to lead. */
  private static final long PROBE_INTERVAL_IN_MILLISECONDS = 50;

  /** A group is promoted when no endpoint was found to lead for this long. */
  private static final long NO_PRIMARY_TIMEOUT_IN_MILLISECONDS = 500;

  /** How long endpoints are asked for their positions before one is chosen. */
  private static final long CANDIDATE_POLL_IN_MILLISECONDS = 150;

  /** How long the first of them may take to answer: a handshake on a VM that has just started. */
  private static final long MAXIMUM_CANDIDATE_POLL_IN_MILLISECONDS = 600;

  /** An order that shows no effect for this long is given again. */
  private static final long PROMOTION_TIMEOUT_IN_MILLISECONDS = 2_500;

  /** Pause after an order that could not be given, in milliseconds. */
  private static final long PROMOTION_RETRY_DELAY_IN_MILLISECONDS = 200;

  /** First guess of the time from an order to the new primary's first answer. */
  private static final double INITIAL_FAILOVER_TIME_IN_MILLISECONDS = 600;

  /** Weight of the newest change of primary in the estimate; changes are rare and alike. */
  private static final double FAILOVER_TIME_GAIN = 0.5;

  private final GatewayContext context;
  private final String group;
  private final Map<String, EndpointPool> pools;
  private final PositionHistory history;
  private final Runnable onUpdate;
  private final LeaderBelief primaryTracker = new LeaderBelief();
  private final Map<String, Long> probeSentAt = new HashMap<>();
  private final Set<String> unansweredProbes = new HashSet<>();
  private final List<Succession.Candidate> candidates = new ArrayList<>();
  private Optional<String> lastPrimary = Optional.empty();
  private long noPrimarySince = Long.MAX_VALUE;
  private long outageSince = Long.MAX_VALUE;
  private long pollStartedAt = Long.MAX_VALUE;
  private long ordersPausedUntil = Long.MIN_VALUE;
  private long orderedAt = Long.MAX_VALUE;
  private double failoverTimeMilliseconds = INITIAL_FAILOVER_TIME_IN_MILLISECONDS;

  PrimaryMonitor(
      GatewayContext context,
      String group,
      Map<String, EndpointPool> pools,
      PositionHistory history,
      Runnable onUpdate) {
    this.context = context;
    this.group = group;
    this.pools = pools;
    this.history = history;
    this.onUpdate = onUpdate;
  }

  void onEndpointUpdated(EndpointEntry entry) {
    primaryTracker.entry(entry);
    updatePrimary();
  }

  void onEndpointRemoved(String endpointId) {
    primaryTracker.removed(endpointId);
    probeSentAt.remove(endpointId);
    unansweredProbes.remove(endpointId);
    updatePrimary();
  }

  /** Returns the pool of the endpoint that leads. */
  Optional<EndpointPool> primary() {
    return primaryTracker.leader().map(pools::get);
  }

  boolean isPrimary(String endpointId) {
    return primaryTracker.leader().filter(endpointId::equals).isPresent();
  }

  /**
   * Returns how long statements for the primary must wait for one, in milliseconds; 0 when one is
   * there.
   */
  double expectedOutageMilliseconds(long now) {
    updateOutage(now);
    return outageSince == Long.MAX_VALUE
        ? 0
        : Outage.remaining(now - outageSince, failoverTimeMilliseconds);
  }

  /** Returns for how long no primary could be used, in milliseconds; 0 when one can. */
  long millisecondsWithoutPrimary(long now) {
    updateOutage(now);
    return outageSince == Long.MAX_VALUE ? 0 : now - outageSince;
  }

  private void updateOutage(long now) {
    boolean reachable =
        primary().filter(pool -> pool.isReachable(now) && pool.acceptsPrimaryWork(now)).isPresent();
    outageSince = reachable ? Long.MAX_VALUE : Math.min(outageSince, now);
  }

  /**
   * Takes what a reply says about the endpoint.
   *
   * @param askedAt when the command was sent, on the steady clock
   * @param provesLead whether only an endpoint that leads answers like this
   */
  void onReply(EndpointPool pool, EndpointReply reply, long sentAt, boolean provesPrimary) {
    String id = pool.entry().id();
    if (provesPrimary) {
      primaryTracker.proved(id, reply.position().term());
      history.observe(sentAt, reply.position());
    } else if (reply.code() == ResultCode.READ_ONLY) {
      primaryTracker.refuted(id);
    }
    if (!reply.position().equals(Position.NONE)) {
      pool.lag().observe(reply.position(), history, context.clock().now());
    }
    updatePrimary();
  }

  private void updatePrimary() {
    Optional<String> primary = primaryTracker.leader();
    if (primary.equals(lastPrimary)) {
      return;
    }
    long now = context.clock().now();
    lastPrimary = primary;
    pools.forEach((id, pool) -> pool.setPrimary(primary.filter(id::equals).isPresent()));
    noPrimarySince = primary.isPresent() ? Long.MAX_VALUE : now;
    if (primary.isPresent() && orderedAt != Long.MAX_VALUE) {
      failoverTimeMilliseconds += FAILOVER_TIME_GAIN * (now - orderedAt - failoverTimeMilliseconds);
      orderedAt = Long.MAX_VALUE;
      ordersPausedUntil = now;
    }
    context.log().log(
        EventKind.LEADER,
        "leader",
        "group",
        group,
        "endpoint",
        primary.orElse("none"),
        "term",
        primaryTracker.provenTerm());
    context.vertx().runOnContext(ignored -> onUpdate.run());
  }

  /**
   * Asks what must be asked, and replaces a primary that is lost or leaves.
   *
   * @param active whether the group has had statements lately
   * @param waiting whether statements wait for a primary
   */
  void sweep(long now, boolean active, boolean waiting) {
    updateOutage(now);
    Optional<EndpointPool> primary = primary();
    if (primary.isPresent()) {
      if (active || waiting) {
        checkPrimary(primary.get(), now);
      }
    } else if (active || waiting) {
      probeAll(now);
    }
    if (orderedAt != Long.MAX_VALUE && (active || waiting)) {
      probeAll(now);
    }
    if (!context.isAssignedGateway(group)) {
      return;
    }
    if (active) {
      context.promotions().acquireLockInAdvance(group, now);
    }
    if (now >= ordersPausedUntil
        && mustReplacePrimary(primary, now)
        && context.promotions().mayOrder(group)) {
      replacePrimary(primary, now);
    }
  }

  private void checkPrimary(EndpointPool primary, long now) {
    reportUnansweredProbe(primary, now);
    boolean doubtful =
        !primary.connectionsAwaitingReplySince(now - PROBE_AFTER_WAITING_IN_MILLISECONDS).isEmpty()
            || primary.suspicion().isSuspected(now);
    if (doubtful || history.age(now) > MAXIMUM_POSITION_AGE_IN_MILLISECONDS) {
      probe(primary, now);
    }
  }

  /**
   * Asks for the primary's position, when none is known that is recent enough; returns whether the
   * answer can be waited for, instead of sending reads to the primary.
   */
  boolean requestPosition(long now) {
    Optional<EndpointPool> primary = primary().filter(pool -> pool.isReachable(now));
    if (primary.isEmpty()) {
      return false;
    }
    probe(primary.get(), now);
    long sentAt = probeSentAt.getOrDefault(primary.get().entry().id(), Long.MIN_VALUE);
    return sentAt != Long.MIN_VALUE && now - sentAt < MAXIMUM_POSITION_WAIT_IN_MILLISECONDS;
  }

  private void reportUnansweredProbe(EndpointPool pool, long now) {
    String id = pool.entry().id();
    long sentAt = probeSentAt.getOrDefault(id, Long.MAX_VALUE);
    if (unansweredProbes.contains(id)
        && sentAt != Long.MAX_VALUE
        && now - sentAt > PROBE_TIMEOUT_IN_MILLISECONDS) {
      pool.suspicion().silent(sentAt, now);
    }
  }

  private void probeAll(long now) {
    for (EndpointPool pool : List.copyOf(pools.values())) {
      probe(pool, now);
    }
  }

  private void probe(EndpointPool pool, long now) {
    String id = pool.entry().id();
    long sentAt = probeSentAt.getOrDefault(id, Long.MIN_VALUE);
    boolean outstanding = unansweredProbes.contains(id);
    boolean recent =
        sentAt != Long.MIN_VALUE
            && now - sentAt
                < (outstanding
                    ? 2 * PROBE_TIMEOUT_IN_MILLISECONDS
                    : PROBE_INTERVAL_IN_MILLISECONDS);
    if (recent) {
      return;
    }
    Optional<EndpointConnection> connection = context.probeCustomer().flatMap(pool::acquireAny);
    if (connection.isEmpty()) {
      return;
    }
    probeSentAt.put(id, now);
    unansweredProbes.add(id);
    connection
        .get()
        .exchange(
            List.of(
                new EndpointCommand.Begin(false, Optional.empty()), new EndpointCommand.Rollback()),
            new PrimaryProbe(pool, connection.get(), now));
  }

  /** The question whether an endpoint leads. */
  private final class PrimaryProbe implements EndpointConnection.ReplyHandler {
    private final EndpointPool pool;
    private final EndpointConnection connection;
    private final long sentAt;
    private boolean accepted;

    private PrimaryProbe(EndpointPool pool, EndpointConnection connection, long sentAt) {
      this.pool = pool;
      this.connection = connection;
      this.sentAt = sentAt;
    }

    @Override
    public void onReply(int index, EndpointReply reply) {
      if (index == 0) {
        accepted = reply.isSuccess();
        unansweredProbes.remove(pool.entry().id());
        pool.suspicion().answered();
        PrimaryMonitor.this.onReply(pool, reply, sentAt, accepted);
      } else {
        pool.releaseOrClose(connection, reply.state());
        onUpdate.run();
      }
    }

    @Override
    public void onLost(int index, EndpointConnection.Loss loss, boolean sent) {
      if (loss == EndpointConnection.Loss.REFUSED) {
        unansweredProbes.remove(pool.entry().id());
      }
    }
  }

  private boolean mustReplacePrimary(Optional<EndpointPool> primary, long now) {
    if (primary.isPresent()) {
      return !primary.get().acceptsWork() || primary.get().suspicion().isGivenUp(now);
    }
    return noPrimarySince != Long.MAX_VALUE
        && now - noPrimarySince > NO_PRIMARY_TIMEOUT_IN_MILLISECONDS
        && !pools.isEmpty();
  }

  private void replacePrimary(Optional<EndpointPool> primary, long now) {
    if (pollStartedAt == Long.MAX_VALUE) {
      startCandidatePoll(primary, now);
      return;
    }
    boolean allAnswered = candidates.size() >= pools.size() - (primary.isPresent() ? 1 : 0);
    long pollMilliseconds =
        candidates.isEmpty()
            ? MAXIMUM_CANDIDATE_POLL_IN_MILLISECONDS
            : CANDIDATE_POLL_IN_MILLISECONDS;
    if (!allAnswered && now - pollStartedAt < pollMilliseconds) {
      return;
    }
    pollStartedAt = Long.MAX_VALUE;
    Optional<String> candidate = Succession.choose(candidates);
    context.log().log(
        EventKind.PROMOTION,
        "considered",
        "group",
        group,
        "leader",
        primary.map(pool -> pool.entry().id()).orElse("none"),
        "candidates",
        candidates,
        "successor",
        candidate.orElse("none"));
    if (candidate.isPresent()) {
      orderPromotion(candidate.get(), now);
    } else {
      ordersPausedUntil = now + PROMOTION_RETRY_DELAY_IN_MILLISECONDS;
    }
  }

  private void startCandidatePoll(Optional<EndpointPool> primary, long now) {
    pollStartedAt = now;
    candidates.clear();
    for (EndpointPool pool : List.copyOf(pools.values())) {
      if (primary.isPresent() && primary.get() == pool) {
        continue;
      }
      context
          .probeCustomer()
          .flatMap(pool::acquireAny)
          .ifPresent(connection -> requestStatus(pool, connection, now));
    }
  }

  private void requestStatus(EndpointPool pool, EndpointConnection connection, long startedAt) {
    connection.exchange(
        List.of(new EndpointCommand.Status()),
        new EndpointConnection.ReplyHandler() {
          @Override
          public void onReply(int index, EndpointReply reply) {
            pool.release(connection);
            if (pollStartedAt == startedAt && reply.isSuccess()) {
              addCandidate(pool, reply);
            }
          }

          @Override
          public void onLost(int index, EndpointConnection.Loss loss, boolean sent) {
            // An endpoint that cannot be asked is no candidate.
          }
        });
  }

  private void addCandidate(EndpointPool pool, EndpointReply reply) {
    try {
      EndpointStatus status = context.endpointDialect().status(reply);
      candidates.add(
          new Succession.Candidate(pool.entry().id(), status.received(), pool.acceptsWork()));
    } catch (DialectException e) {
      context.log().log(EventKind.PROTOCOL, "unreadable status", "endpoint", pool.entry().id());
    }
  }

  private void orderPromotion(String endpointId, long now) {
    orderedAt = now;
    ordersPausedUntil = now + PROMOTION_TIMEOUT_IN_MILLISECONDS;
    context
        .promotions()
        .promote(group, endpointId)
        .onSuccess(
            outcome -> {
              if (outcome != PromotionOrders.Outcome.ACCEPTED) {
                ordersPausedUntil = context.clock().now() + PROMOTION_RETRY_DELAY_IN_MILLISECONDS;
              }
            });
  }
}
