package org.toucanmast.runtime.gateway;

import io.vertx.core.net.NetClient;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.failover.PrimaryFailureDetector;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.gateway.ConnectionBudget;
import org.toucanmast.core.gateway.ReplicaLagEstimate;
import org.toucanmast.core.gateway.ServiceTimeEstimate;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.TransactionState;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.EndpointDialect;

/**
 * Pool of the connections to one endpoint, with the state of the endpoint as this gateway observes
 * it.
 *
 * <p>An endpoint is leaving while it is draining or its data centre is taken out.
 */
final class EndpointPool {
  /** Statements in flight beyond the slots, so that no slot is idle while a reply is on its way. */
  private static final int ADDITIONAL_STATEMENTS_IN_FLIGHT = 1;

  /** Assumed service time of a statement before the first sample, in milliseconds. */
  private static final double INITIAL_SERVICE_TIME_IN_MILLISECONDS = 25;

  /**
   * Backoff after the first failed connection attempt, in milliseconds: no statement is started
   * here meanwhile. It doubles with each further failure.
   */
  private static final long INITIAL_BACKOFF_IN_MILLISECONDS = 50;

  /** Upper limit of the backoff, so that a restarted endpoint is noticed soon. */
  private static final long MAXIMUM_BACKOFF_IN_MILLISECONDS = 400;

  /** Backoff after the endpoint turned out to be another one than its entry names. */
  private static final long WRONG_ENDPOINT_BACKOFF_IN_MILLISECONDS = 1_000;

  private final NetClient client;
  private final EndpointDialect dialect;
  private final VmClock clock;
  private final EventLog log;
  private final PositionHistory history;
  private final List<EndpointConnection> connections = new ArrayList<>();
  private final ReplicaLagEstimate lag = new ReplicaLagEstimate();
  private final PrimaryFailureDetector suspicion = new PrimaryFailureDetector();
  private final ConnectionBudget budget;
  private final long leavingPrimaryGraceInMilliseconds;
  private ServiceTimeEstimate serviceTimes = initialServiceTimes();
  private EndpointEntry entry;
  private boolean takenOut;
  private boolean primary;
  private long leavingSince;
  private int runningStatements;
  private final Optional<LearnedLimit> learned;
  private long avoidedUntil = Long.MIN_VALUE;
  private long backoffMilliseconds = INITIAL_BACKOFF_IN_MILLISECONDS;

  /**
   * Creates a pool without connections.
   *
   * @param changedSince the earliest time at which the entry may have been changed
   */
  EndpointPool(
      NetClient client,
      EndpointDialect dialect,
      VmClock clock,
      EventLog log,
      PositionHistory history,
      EndpointEntry entry,
      long changedSince,
      PoolLimits limits) {
    this.learned = limits.learned();
    this.history = history;
    this.client = client;
    this.dialect = dialect;
    this.clock = clock;
    this.log = log;
    this.entry = entry;
    this.budget = new ConnectionBudget(limits.maximumConnections());
    this.leavingPrimaryGraceInMilliseconds = limits.leavingPrimaryGraceInMilliseconds();
    this.leavingSince = entry.draining() ? changedSince : Long.MAX_VALUE;
    learned.ifPresent(limit -> limit.registerGauges(serviceTimes::mean));
  }

  private static ServiceTimeEstimate initialServiceTimes() {
    return new ServiceTimeEstimate(INITIAL_SERVICE_TIME_IN_MILLISECONDS);
  }

  /**
   * Applies a newer entry of the same endpoint. If it describes another run of the endpoint, the
   * connections to the earlier run are closed.
   *
   * @param changedSince the earliest time at which the entry may have been changed
   */
  void update(EndpointEntry newer, long changedSince) {
    boolean sameRun = entry.isSameRun(newer);
    entry = newer;
    updateLeavingSince(changedSince);
    if (!sameRun) {
      List.copyOf(connections).forEach(EndpointConnection::close);
      lag.reset();
      serviceTimes = learned.isPresent() ? initialServiceTimes() : serviceTimes;
      avoidedUntil = Long.MIN_VALUE;
    }
    learned.ifPresent(limit -> limit.update(newer.slots(), sameRun));
  }

  /** Sets whether the endpoint is known to be the primary of its group. */
  void setPrimary(boolean newPrimary) {
    primary = newPrimary;
    learned.ifPresent(limit -> limit.limit().setPrimary(newPrimary));
  }

  /** Sets since when the endpoint's data centre may have been taken out; empty if it is not. */
  void setTakenOut(OptionalLong since) {
    takenOut = since.isPresent();
    updateLeavingSince(since.orElse(leavingSince));
  }

  private void updateLeavingSince(long changedSince) {
    leavingSince = acceptsWork() ? Long.MAX_VALUE : Math.min(leavingSince, changedSince);
  }

  /**
   * Returns whether statements that need the primary may still be sent here, provided that the
   * endpoint is the primary.
   */
  boolean acceptsPrimaryWork(long now) {
    return acceptsWork() || now - leavingSince < leavingPrimaryGraceInMilliseconds;
  }

  void setMaximumConnections(int maximumConnections) {
    budget.resize(maximumConnections);
  }

  /**
   * Returns whether new work may be sent to the endpoint: it is not draining and its data centre is
   * not taken out.
   */
  boolean acceptsWork() {
    return !entry.draining() && !takenOut;
  }

  /**
   * Returns whether a statement can be started now: the endpoint is not being avoided, a slot is
   * free and a connection is idle or may be opened.
   */
  boolean canStart(long now) {
    return hasSlot() && now >= avoidedUntil && hasConnection(now);
  }

  /**
   * Returns whether the endpoint is considered reachable: it is neither being avoided nor suspected
   * of having failed.
   */
  boolean isReachable(long now) {
    return now >= avoidedUntil && !suspicion.isSuspected(now);
  }

  boolean hasSlot() {
    return runningStatements < maximumInFlight();
  }

  private int maximumInFlight() {
    return learned.isPresent()
        ? learned.get().limit().limit()
        : entry.slots() + ADDITIONAL_STATEMENTS_IN_FLIGHT;
  }

  /**
   * Returns how many statements can run at once, limited by the slots of the endpoint, by its
   * learned limit and by the connections that this gateway may hold.
   */
  int usableSlots(long now) {
    return Math.min(slotsServedWell(), budget.limit(primary, now));
  }

  private int slotsServedWell() {
    return Math.min(entry.slots(), maximumInFlight());
  }

  private boolean hasConnection(long now) {
    return connections.size() < budget.limit(primary, now)
        || connections.stream().anyMatch(connection -> !connection.isBusy());
  }

  /**
   * Returns the ratio of this gateway's running statements to the endpoint's slots, or to its
   * learned limit if that is lower; 1 means that all of them are in use.
   */
  double load() {
    return (double) runningStatements / slotsServedWell();
  }

  /**
   * Returns the factor by which a read takes longer here than at the fastest endpoint, if known.
   */
  double placementFactor() {
    return learned.isPresent() ? learned.get().limit().placementFactor() : 1;
  }

  /** Returns whether one read should find out whether the endpoint has recovered. */
  boolean isProbeDue() {
    return learned.isPresent()
        && runningStatements == 0
        && learned.get().limit().isProbeDue(clock.now());
  }

  boolean hasIdleConnection(String customer) {
    return connections.stream()
        .anyMatch(connection -> !connection.isBusy() && connection.customer().equals(customer));
  }

  /**
   * Takes a connection of a customer: an idle one, preferably with the given session values, or a
   * new one. Returns empty if the connection limit is reached and no connection is idle.
   */
  Optional<EndpointConnection> acquire(String customer, Map<String, String> sessionValues) {
    return take(
        connections.stream()
            .filter(connection -> !connection.isBusy() && connection.customer().equals(customer))
            .max(
                Comparator.<EndpointConnection, Boolean>comparing(
                        connection -> connection.hasSessionValues(sessionValues))
                    .thenComparing(EndpointConnection::lastUsedAt)),
        customer);
  }

  /**
   * Takes any idle connection, or opens one for the given customer. Returns empty if the connection
   * limit is reached and no connection is idle.
   */
  Optional<EndpointConnection> acquireAny(String customer) {
    return take(
        connections.stream().filter(connection -> !connection.isBusy()).findFirst(), customer);
  }

  private Optional<EndpointConnection> take(Optional<EndpointConnection> idle, String customer) {
    Optional<EndpointConnection> found = idle.or(() -> openConnection(customer));
    found.ifPresent(connection -> connection.setBusy(true));
    return found;
  }

  private Optional<EndpointConnection> openConnection(String customer) {
    if (connections.size() >= budget.limit(primary, clock.now()) && !closeLeastRecentlyUsed()) {
      return Optional.empty();
    }
    EndpointConnection[] self = new EndpointConnection[1];
    self[0] =
        new EndpointConnection(
            client,
            dialect,
            clock,
            log,
            entry,
            customer,
            openHandler(self),
            () -> connections.remove(self[0]));
    connections.add(self[0]);
    return Optional.of(self[0]);
  }

  private EndpointConnection.ReplyHandler openHandler(EndpointConnection[] self) {
    return new EndpointConnection.ReplyHandler() {
      @Override
      public void onReply(int index, EndpointReply reply) {
        if (reply.isSuccess()) {
          backoffMilliseconds = INITIAL_BACKOFF_IN_MILLISECONDS;
          suspicion.onReply();
          lag.observe(reply.position(), history, clock.now());
        } else {
          onOpenRefused(reply);
          self[0].close();
        }
      }

      @Override
      public void onLost(int index, EndpointConnection.Loss loss, boolean sent) {
        onConnectionFailed(loss);
      }
    };
  }

  private void onOpenRefused(EndpointReply reply) {
    long now = clock.now();
    log.log(
        EventKind.ENDPOINT,
        "connection refused by endpoint",
        "endpoint",
        entry.id(),
        "code",
        reply.code(),
        "open",
        connections.size());
    switch (reply.code()) {
      case CONNECTION_LIMIT -> budget.onConnectionRefused(connections.size() - 1, now);
      case WRONG_ENDPOINT -> avoidedUntil = now + WRONG_ENDPOINT_BACKOFF_IN_MILLISECONDS;
      default -> avoidedUntil = now + INITIAL_BACKOFF_IN_MILLISECONDS;
    }
  }

  private void onConnectionFailed(EndpointConnection.Loss loss) {
    long now = clock.now();
    if (loss == EndpointConnection.Loss.REFUSED) {
      suspicion.onConnectionRefused(now);
    }
    log.log(
        EventKind.ENDPOINT,
        "connection lost while opening",
        "endpoint",
        entry.id(),
        "loss",
        loss,
        "avoided_for",
        backoffMilliseconds);
    avoidedUntil = now + backoffMilliseconds;
    backoffMilliseconds = Math.min(MAXIMUM_BACKOFF_IN_MILLISECONDS, backoffMilliseconds * 2);
  }

  private boolean closeLeastRecentlyUsed() {
    Optional<EndpointConnection> leastRecentlyUsed =
        connections.stream()
            .filter(connection -> !connection.isBusy())
            .min(Comparator.comparingLong(EndpointConnection::lastUsedAt));
    leastRecentlyUsed.ifPresent(EndpointConnection::close);
    return leastRecentlyUsed.isPresent();
  }

  /** Returns a connection to the pool; first drops session state that is too large to be kept. */
  void release(EndpointConnection connection) {
    if (!connection.isClosed() && connection.isSessionStateTooLarge()) {
      connection.resetSession(() -> connection.setBusy(false));
    } else {
      connection.setBusy(false);
    }
  }

  /** Returns a connection to the pool, or closes it if its transaction has not ended. */
  void releaseOrClose(EndpointConnection connection, TransactionState state) {
    if (state == TransactionState.NONE) {
      release(connection);
    } else {
      connection.close();
    }
  }

  /**
   * Rolls back the transaction on a connection and returns the connection to the pool.
   *
   * @param onReleased called after the endpoint has answered the rollback
   */
  void rollBack(EndpointConnection connection, Runnable onReleased) {
    connection.exchange(
        List.of(new EndpointCommand.Rollback()),
        new EndpointConnection.ReplyHandler() {
          @Override
          public void onReply(int index, EndpointReply reply) {
            releaseOrClose(connection, reply.state());
            onReleased.run();
          }

          @Override
          public void onLost(int index, EndpointConnection.Loss loss, boolean sent) {
            // The endpoint rolls back the open transaction of a closed connection.
          }
        });
  }

  void takeSlot() {
    runningStatements++;
  }

  void releaseSlot() {
    runningStatements--;
  }

  /** Closes connections that have been idle for the given time: other VMs may need them. */
  void closeIdle(long idleMilliseconds) {
    closeIdleIf(connection -> connection.lastUsedAt() <= clock.now() - idleMilliseconds);
  }

  /** Closes the matching connections that are idle. */
  void closeIdleIf(Predicate<EndpointConnection> condition) {
    connections.stream()
        .filter(connection -> !connection.isBusy() && condition.test(connection))
        .toList()
        .forEach(EndpointConnection::close);
  }

  /** Returns the number of connections, including those that are being opened. */
  int connectionCount() {
    return connections.size();
  }

  /** Closes all connections. */
  void close() {
    List.copyOf(connections).forEach(EndpointConnection::close);
    learned.ifPresent(LearnedLimit::close);
  }

  /** Returns the connections whose oldest unanswered command was issued before the given time. */
  List<EndpointConnection> connectionsAwaitingReplySince(long time) {
    return connections.stream()
        .filter(connection -> connection.awaitingReplySince() < time)
        .toList();
  }

  EndpointEntry entry() {
    return entry;
  }

  ServiceTimeEstimate serviceTimes() {
    return serviceTimes;
  }

  Optional<LearnedLimit> learned() {
    return learned;
  }

  int runningStatements() {
    return runningStatements;
  }

  ReplicaLagEstimate lag() {
    return lag;
  }

  PrimaryFailureDetector suspicion() {
    return suspicion;
  }

  /** Starts no statements at this endpoint for the given time. */
  void avoid(long milliseconds) {
    avoidedUntil = Math.max(avoidedUntil, clock.now() + milliseconds);
  }
}
