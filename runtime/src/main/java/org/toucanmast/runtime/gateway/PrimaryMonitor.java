package org.toucanmast.runtime.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.failover.OutageEstimate;
import org.toucanmast.core.failover.PrimaryTracker;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.runtime.events.EventKind;

/**
 * Tracks the primary of a group and its log position, and replaces a primary that is lost or
 * leaving.
 *
 * <p>Endpoints are probed by beginning a transaction: this takes no slot, and only the primary
 * accepts it.
 */
final class PrimaryMonitor {
  /**
   * The primary is probed when its known position is older than this; well below the staleness of
   * any route.
   */
  private static final long MAXIMUM_POSITION_AGE_IN_MILLISECONDS = 300;

  /** The primary is probed when one of its replies has been outstanding for this long. */
  private static final long PROBE_AFTER_WAITING_IN_MILLISECONDS = 200;

  /** A probe without a reply for this long counts as silence of the endpoint; many round trips. */
  private static final long PROBE_TIMEOUT_IN_MILLISECONDS = 250;

  /** Reads wait this long for the primary's position: a handshake and some round trips. */
  private static final long MAXIMUM_POSITION_WAIT_IN_MILLISECONDS = 250;

  /** Interval between probes of an endpoint while no primary is known. */
  private static final long PROBE_INTERVAL_IN_MILLISECONDS = 50;

  /** A promotion begins when no primary has been known for this long. */
  private static final long NO_PRIMARY_TIMEOUT_IN_MILLISECONDS = 500;

  /**
   * Assumed time from a promotion order to the first reply of the new primary, before the first
   * sample.
   */
  private static final double INITIAL_FAILOVER_TIME_IN_MILLISECONDS = 600;

  /**
   * Weight of the latest failover in the estimate; high, as failovers are rare and take similar
   * times.
   */
  private static final double FAILOVER_TIME_GAIN = 0.5;

  private final GatewayContext context;
  private final String group;
  private final Map<String, EndpointPool> pools;
  private final PositionHistory history;
  private final Runnable onUpdate;
  private final PrimaryTracker primaryTracker = new PrimaryTracker();
  private final Map<String, Long> probeSentAt = new HashMap<>();
  private final Set<String> unansweredProbes = new HashSet<>();
  private final PrimaryReplacement replacement;
  private Optional<String> lastPrimary = Optional.empty();
  private long noPrimarySince = Long.MAX_VALUE;
  private long outageSince = Long.MAX_VALUE;
  private double failoverTimeMilliseconds = INITIAL_FAILOVER_TIME_IN_MILLISECONDS;

  /**
   * Creates a monitor of a group.
   *
   * @param hasRunningWrites tells whether writes or commits are running at an endpoint
   * @param onUpdate called when statements may be started that could not be started before
   */
  PrimaryMonitor(
      GatewayContext context,
      String group,
      Map<String, EndpointPool> pools,
      PositionHistory history,
      Predicate<EndpointPool> hasRunningWrites,
      Runnable onUpdate) {
    this.context = context;
    this.group = group;
    this.pools = pools;
    this.history = history;
    this.onUpdate = onUpdate;
    this.replacement =
        new PrimaryReplacement(
            context, group, pools, pool -> probe(pool, context.clock().now()), hasRunningWrites);
  }

  void onEndpointUpdated(EndpointEntry entry) {
    primaryTracker.onEntry(entry);
    replacement.onEndpointUpdated(entry);
    updatePrimary();
  }

  void onEndpointRemoved(String endpointId) {
    primaryTracker.onEndpointRemoved(endpointId);
    replacement.onEndpointRemoved(endpointId);
    probeSentAt.remove(endpointId);
    unansweredProbes.remove(endpointId);
    updatePrimary();
  }

  /** Returns the pool of the primary; empty if none is known. */
  Optional<EndpointPool> primary() {
    return primaryTracker.primary().map(pools::get);
  }

  /** Returns the pool of the primary if it can start a statement now. */
  Optional<EndpointPool> primaryThatCanStart(long now) {
    return primary().filter(pool -> acceptsPrimaryWork(pool, now) && pool.canStart(now));
  }

  private boolean acceptsPrimaryWork(EndpointPool pool, long now) {
    return pool.acceptsPrimaryWork(now) && !replacement.holdsWritesBackFrom(pool);
  }

  /** Returns whether a statement of an open transaction can be started now. */
  boolean mayContinue(OpenTransaction transaction, StatementRequest request) {
    EndpointPool pool = transaction.pool();
    return pool.hasSlot()
        && !(request.operation().mayCommit() && replacement.holdsWritesBackFrom(pool));
  }

  boolean isPrimary(String endpointId) {
    return primaryTracker.primary().filter(endpointId::equals).isPresent();
  }

  /**
   * Returns how long statements are expected to wait for a usable primary, in milliseconds; 0 if
   * there is one.
   */
  double expectedOutageMilliseconds(long now) {
    updateOutage(now);
    return outageSince == Long.MAX_VALUE
        ? 0
        : OutageEstimate.remainingMilliseconds(now - outageSince, failoverTimeMilliseconds);
  }

  /** Returns for how long there has been no usable primary, in milliseconds; 0 if there is one. */
  long millisecondsWithoutPrimary(long now) {
    updateOutage(now);
    return outageSince == Long.MAX_VALUE ? 0 : now - outageSince;
  }

  private void updateOutage(long now) {
    boolean reachable =
        primary()
            .filter(pool -> pool.isReachable(now) && acceptsPrimaryWork(pool, now))
            .isPresent();
    outageSince = reachable ? Long.MAX_VALUE : Math.min(outageSince, now);
    if (reachable) {
      replacement.onPrimaryUsable();
    }
  }

  /**
   * Updates the known primary and positions from a reply.
   *
   * @param sentAt when the command was sent, on the steady clock in milliseconds
   * @param provesPrimary whether only the primary can give this reply
   */
  void onReply(EndpointPool pool, EndpointReply reply, long sentAt, boolean provesPrimary) {
    onReply(pool, reply, sentAt, provesPrimary, false);
  }

  /**
   * Updates the known primary and positions from a reply.
   *
   * @param committed whether the reply acknowledges a commit
   */
  void onReply(
      EndpointPool pool,
      EndpointReply reply,
      long sentAt,
      boolean provesPrimary,
      boolean committed) {
    String id = pool.entry().id();
    if (provesPrimary) {
      primaryTracker.onPrimaryConfirmed(id, reply.position().term());
      history.observe(sentAt, reply.position());
    } else if (reply.code() == ResultCode.READ_ONLY) {
      primaryTracker.onPrimaryRefuted(id);
    }
    if (!reply.position().equals(Position.NONE)) {
      if (!isPrimary(id)) {
        replacement.onReplicaPosition(reply.position());
      }
      pool.lag().observe(reply.position(), history, context.clock().now());
    }
    updatePrimary();
    if (provesPrimary && isPrimary(id)) {
      replacement.onPrimaryPosition(reply.position(), sentAt, committed);
    }
  }

  private void updatePrimary() {
    Optional<String> primary = primaryTracker.primary();
    if (primary.equals(lastPrimary)) {
      return;
    }
    long now = context.clock().now();
    lastPrimary = primary;
    pools.forEach((id, pool) -> pool.setPrimary(primary.filter(id::equals).isPresent()));
    noPrimarySince = primary.isPresent() ? Long.MAX_VALUE : now;
    if (primary.isPresent()) {
      replacement
          .millisecondsSinceOrder(now)
          .ifPresent(
              milliseconds ->
                  failoverTimeMilliseconds +=
                      FAILOVER_TIME_GAIN * (milliseconds - failoverTimeMilliseconds));
      replacement.onPrimary();
    }
    context.log().log(
        EventKind.LEADER,
        "leader",
        "group",
        group,
        "endpoint",
        primary.orElse("none"),
        "term",
        primaryTracker.confirmedTerm());
    context.vertx().runOnContext(ignored -> onUpdate.run());
  }

  /**
   * Probes endpoints where necessary, and replaces a primary that is lost or leaving.
   *
   * @param active whether the group has had statements recently
   * @param waiting whether statements wait for the primary
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
    if (replacement.millisecondsSinceOrder(now).isPresent() && (active || waiting)) {
      probeAll(now);
    }
    replacement.onIsolation(context.isIsolated(), now);
    if (!context.isAssignedGateway(group)) {
      replacement.onNotAssigned();
      return;
    }
    if (active) {
      context.promotions().acquireLockInAdvance(group, now);
    }
    replacement.sweep(primary, mustReplacePrimary(primary, now), now);
  }

  /** Returns whether a candidate is being chosen or a promotion was ordered. */
  boolean isReplacing() {
    return replacement.isRunning();
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
   * Probes the primary for its position, for reads that find no recent one. Returns whether they
   * can wait for the reply instead of being sent to the primary.
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
        && context.localHealth().mayJudge(now)
        && now - sentAt > context.localHealth().extended(PROBE_TIMEOUT_IN_MILLISECONDS, now)) {
      pool.suspicion().onSilence(sentAt, now);
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

  /** Handles the replies to the probe of an endpoint. */
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
        pool.suspicion().onReply();
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
      return !primary.get().acceptsWork()
          || primary.get().suspicion().hasFailed(context.localHealth(), now);
    }
    return noPrimarySince != Long.MAX_VALUE
        && context.localHealth().mayJudge(now)
        && now - noPrimarySince
            > context.localHealth().extended(NO_PRIMARY_TIMEOUT_IN_MILLISECONDS, now)
        && !pools.isEmpty();
  }
}
