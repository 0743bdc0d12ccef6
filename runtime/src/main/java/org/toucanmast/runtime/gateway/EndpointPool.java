package org.toucanmast.runtime.gateway;

import io.vertx.core.net.NetClient;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.failover.PrimarySuspicion;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.gateway.ConnectionBudget;
import org.toucanmast.core.gateway.ReplicaLag;
import org.toucanmast.core.gateway.ServiceTimes;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.TransactionState;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.EndpointDialect;

/** The connections to one endpoint, and what this gateway knows of it. */
final class EndpointPool {
  /** Statements in flight beyond the slots, so that an answer's way back leaves no slot idle. */
  private static final int ADDITIONAL_STATEMENTS_IN_FLIGHT = 1;

  /** First guess of a statement's time, in milliseconds. */
  private static final double INITIAL_SERVICE_TIME_IN_MILLISECONDS = 25;

  /** Pause after the first failed connection, in milliseconds; doubles with each further one. */
  private static final long INITIAL_BACKOFF_IN_MILLISECONDS = 50;

  /** Longest pause between attempts to connect, so that a restart is noticed soon. */
  private static final long MAXIMUM_BACKOFF_IN_MILLISECONDS = 400;

  /** Pause after the endpoint was found to be another one than its entry says. */
  private static final long WRONG_ENDPOINT_BACKOFF_IN_MILLISECONDS = 1_000;

  /**
   * A primary that leaves, or whose data centre is taken out, is used this long until another one
   * leads; below the times after which the platform's users expect no more work there.
   */
  private static final long LEAVING_PRIMARY_GRACE_IN_MILLISECONDS = 4_000;

  /** An endpoint that was leaving already when it was first seen may have done so for a while. */
  private static final long DRAINING_BEFORE_FIRST_SEEN_IN_MILLISECONDS = 1_500;

  private final NetClient client;
  private final EndpointDialect dialect;
  private final VmClock clock;
  private final EventLog log;
  private final PositionHistory history;
  private final List<EndpointConnection> connections = new ArrayList<>();
  private final ServiceTimes serviceTimes = new ServiceTimes(INITIAL_SERVICE_TIME_IN_MILLISECONDS);
  private final ReplicaLag lag = new ReplicaLag();
  private final PrimarySuspicion suspicion = new PrimarySuspicion();
  private final ConnectionBudget budget;
  private EndpointEntry entry;
  private boolean takenOut;
  private boolean primary;
  private long leavingSince;
  private int runningStatements;
  private long avoidedUntil = Long.MIN_VALUE;
  private long backoffMilliseconds = INITIAL_BACKOFF_IN_MILLISECONDS;

  EndpointPool(
      NetClient client,
      EndpointDialect dialect,
      VmClock clock,
      EventLog log,
      PositionHistory history,
      EndpointEntry entry,
      int maximumConnections) {
    this.history = history;
    this.client = client;
    this.dialect = dialect;
    this.clock = clock;
    this.log = log;
    this.entry = entry;
    this.budget = new ConnectionBudget(maximumConnections);
    this.leavingSince =
        entry.draining()
            ? clock.now() - DRAINING_BEFORE_FIRST_SEEN_IN_MILLISECONDS
            : Long.MAX_VALUE;
  }

  /** Takes a newer entry of the same endpoint; connections to an earlier run are closed. */
  void update(EndpointEntry newer) {
    boolean sameRun = entry.isSameRun(newer);
    entry = newer;
    updateLeavingSince();
    if (!sameRun) {
      List.copyOf(connections).forEach(EndpointConnection::close);
      lag.reset();
      avoidedUntil = Long.MIN_VALUE;
    }
  }

  /** Notes whether the endpoint leads its group, as far as is known. */
  void setPrimary(boolean newPrimary) {
    primary = newPrimary;
  }

  void setTakenOut(boolean newTakenOut) {
    takenOut = newTakenOut;
    updateLeavingSince();
  }

  private void updateLeavingSince() {
    leavingSince = acceptsWork() ? Long.MAX_VALUE : Math.min(leavingSince, clock.now());
  }

  /** Returns whether statements that need the primary may still be sent here, if it leads. */
  boolean acceptsPrimaryWork(long now) {
    return acceptsWork() || now - leavingSince < LEAVING_PRIMARY_GRACE_IN_MILLISECONDS;
  }

  void setMaximumConnections(int maximumConnections) {
    budget.resize(maximumConnections);
  }

  /** Returns whether new work may be sent to the endpoint at all. */
  boolean acceptsWork() {
    return !entry.draining() && !takenOut;
  }

  /** Returns whether a statement can be started now. */
  boolean canStart(long now) {
    return hasSlot() && now >= avoidedUntil && hasConnection(now);
  }

  /** Returns whether the endpoint is not known to be out of reach. */
  boolean isReachable(long now) {
    return now >= avoidedUntil && !suspicion.isSuspected(now);
  }

  boolean hasSlot() {
    return runningStatements < entry.slots() + ADDITIONAL_STATEMENTS_IN_FLIGHT;
  }

  /** Returns how many statements can run at once with the connections that may be held. */
  int usableSlots(long now) {
    return Math.min(entry.slots(), budget.limit(primary, now));
  }

  private boolean hasConnection(long now) {
    return connections.size() < budget.limit(primary, now)
        || connections.stream().anyMatch(connection -> !connection.isBusy());
  }

  /** Returns how full the endpoint is with this gateway's statements; 1 means all slots. */
  double load() {
    return (double) runningStatements / entry.slots();
  }

  boolean hasIdleConnection(String customer) {
    return connections.stream()
        .anyMatch(connection -> !connection.isBusy() && connection.customer().equals(customer));
  }

  /** Takes a connection for a customer; its slot is taken with it. */
  Optional<EndpointConnection> acquire(String customer, Map<String, String> sessionValues) {
    Optional<EndpointConnection> idle =
        connections.stream()
            .filter(connection -> !connection.isBusy() && connection.customer().equals(customer))
            .max(
                Comparator.<EndpointConnection, Boolean>comparing(
                        connection -> connection.hasSessionValues(sessionValues))
                    .thenComparing(EndpointConnection::lastUsedAt));
    if (idle.isEmpty()) {
      idle = openConnection(customer);
    }
    idle.ifPresent(connection -> connection.setBusy(true));
    return idle;
  }

  /** Takes any idle connection, or opens one for the given customer. */
  Optional<EndpointConnection> acquireAny(String customer) {
    Optional<EndpointConnection> found =
        connections.stream().filter(connection -> !connection.isBusy()).findFirst();
    if (found.isEmpty()) {
      found = openConnection(customer);
    }
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
          suspicion.answered();
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
      case CONNECTION_LIMIT -> budget.refused(connections.size() - 1, now);
      case WRONG_ENDPOINT -> avoidedUntil = now + WRONG_ENDPOINT_BACKOFF_IN_MILLISECONDS;
      default -> avoidedUntil = now + INITIAL_BACKOFF_IN_MILLISECONDS;
    }
  }

  private void onConnectionFailed(EndpointConnection.Loss loss) {
    long now = clock.now();
    if (loss == EndpointConnection.Loss.REFUSED) {
      suspicion.refused(now);
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

  /** Gives a connection back. */
  void release(EndpointConnection connection) {
    connection.setBusy(false);
  }

  /** Gives a connection back, or closes it when a transaction is still open on it. */
  void releaseOrClose(EndpointConnection connection, TransactionState state) {
    if (state == TransactionState.NONE) {
      release(connection);
    } else {
      connection.close();
    }
  }

  /**
   * Rolls back the transaction on a connection.
   *
   * @param freed called once the connection serves others again
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
            // The endpoint rolls back what a closed connection left open.
          }
        });
  }

  void takeSlot() {
    runningStatements++;
  }

  void releaseSlot() {
    runningStatements--;
  }

  /**
   * Closes the connections that serve nothing and were not used for a while: the endpoint counts
   * them, and other VMs may need the room.
   */
  void closeIdle(long idleMilliseconds) {
    long cutoff = clock.now() - idleMilliseconds;
    connections.stream()
        .filter(connection -> !connection.isBusy() && connection.lastUsedAt() <= cutoff)
        .toList()
        .forEach(EndpointConnection::close);
  }

  /** Returns how many connections are open, or being opened. */
  int connectionCount() {
    return connections.size();
  }

  /** Closes all connections. */
  void close() {
    List.copyOf(connections).forEach(EndpointConnection::close);
  }

  /** Returns the connections that have been waiting for a reply since before the given time. */
  List<EndpointConnection> connectionsAwaitingReplySince(long time) {
    return connections.stream()
        .filter(connection -> connection.awaitingReplySince() < time)
        .toList();
  }

  EndpointEntry entry() {
    return entry;
  }

  ServiceTimes serviceTimes() {
    return serviceTimes;
  }

  ReplicaLag lag() {
    return lag;
  }

  PrimarySuspicion suspicion() {
    return suspicion;
  }

  /** Does not start statements here for some time. */
  void avoid(long milliseconds) {
    avoidedUntil = Math.max(avoidedUntil, clock.now() + milliseconds);
  }
}
