package org.toucanmast.runtime.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.scheduling.Capacity;
import org.toucanmast.core.scheduling.PrimaryReserve;
import org.toucanmast.core.scheduling.ReadDecision;
import org.toucanmast.core.scheduling.ReadOption;
import org.toucanmast.core.scheduling.StatementSchedule;
import org.toucanmast.core.scheduling.WaitEstimate;

/**
 * Supplies the state of the endpoints to the schedule of a gateway, and starts what it chooses. In
 * use where statements are scheduled by objectives.
 */
final class ObjectiveScheduler {
  /** Statements that one dispatch starts at most; the next event continues. */
  private static final int MAXIMUM_STARTS = 64;

  /** Assumed service time while no endpoint is known, in milliseconds. */
  private static final double DEFAULT_SERVICE_TIME_IN_MILLISECONDS = 25;

  /** Starts a chosen statement. */
  @FunctionalInterface
  interface Starter {
    /**
     * Starts a statement.
     *
     * @param minimumPosition the position that the endpoint's log must hold; empty at the primary
     *     for a statement that only the primary can run
     */
    void start(PendingStatement statement, EndpointPool pool, Optional<Position> minimumPosition);
  }

  private final Map<String, EndpointPool> pools;
  private final PrimaryMonitor primaryMonitor;
  private final ReadPlacement readPlacement;
  private final Set<StatementAttempt> runningAttempts;
  private final MetricRegistry metrics;
  private final StatementSchedule<PendingStatement> schedule = new StatementSchedule<>();
  private final PrimaryReserve reserve = new PrimaryReserve();
  private final Map<Integer, Counter> started = new HashMap<>();
  private final Map<Integer, Counter> waited = new HashMap<>();
  private Optional<EndpointPool> chosenPool = Optional.empty();
  private Optional<Position> chosenPosition = Optional.empty();

  /**
   * Creates a scheduler without statements.
   *
   * @param runningAttempts the attempts that run at the endpoints
   */
  ObjectiveScheduler(
      Map<String, EndpointPool> pools,
      PrimaryMonitor primaryMonitor,
      ReadPlacement readPlacement,
      Set<StatementAttempt> runningAttempts,
      MetricRegistry metrics) {
    this.pools = pools;
    this.primaryMonitor = primaryMonitor;
    this.readPlacement = readPlacement;
    this.runningAttempts = runningAttempts;
    this.metrics = metrics;
  }

  /** Lets a statement wait, or refuses it if it is not expected to complete in time. */
  void offer(PendingStatement statement, long now) {
    if (lacksNearbyReplica(statement, now)) {
      statement.failNotNearby();
      return;
    }
    Room room = room(statement, now);
    if (statement.needsPrimary()) {
      reserve.onPrimaryStatement(now);
    }
    schedule
        .offer(statement, statement.terms(), room.capacity(), room.untilReplica(), now)
        .ifPresent(statement::refuse);
  }

  /** Returns whether a read may only run on nearby replicas and none of these holds its data. */
  private boolean lacksNearbyReplica(PendingStatement statement, long now) {
    if (!statement.request().nearbyOnly()) {
      return false;
    }
    Position required = readPlacement.requiredPosition(statement, now).orElse(Position.NONE);
    return readPlacement.options(statement, required, reserve, runningAtPrimary(), now).stream()
        .noneMatch(ReadOption::isHeld);
  }

  /** Puts a statement back at its former place. */
  void restore(PendingStatement statement, long now) {
    schedule.restore(statement, statement.terms(), serviceMilliseconds(), now);
  }

  /** Lets a read whose required position is unknown wait for a slot of the primary. */
  private void requirePrimary(PendingStatement statement, long now) {
    if (statement.request().nearbyOnly()) {
      statement.failNotNearby();
      return;
    }
    statement.requirePrimary();
    if (statement.attempts() > 0) {
      restore(statement, now);
      return;
    }
    Room room = room(statement, now);
    schedule
        .offer(statement, statement.terms(), room.capacity(), room.untilReplica(), now)
        .ifPresent(statement::refuse);
  }

  /**
   * What a statement can use.
   *
   * @param capacity the capacity of the endpoints that can serve it
   * @param untilReplica the time until a replica can serve it, in milliseconds
   */
  private record Room(Capacity capacity, double untilReplica) {}

  private Room room(PendingStatement statement, long now) {
    double outage = primaryMonitor.expectedOutageMilliseconds(now);
    if (statement.needsPrimary()) {
      Optional<EndpointPool> primary = primaryMonitor.primary();
      boolean free = primaryMonitor.primaryThatCanStart(now).isPresent();
      int slots = primary.map(pool -> pool.usableSlots(now)).orElse(0);
      double service =
          primary.map(pool -> pool.serviceTimes().mean()).orElse(serviceMilliseconds());
      return new Room(
          new Capacity(Math.max(1, slots), free ? 1 : 0, service, outage),
          Double.POSITIVE_INFINITY);
    }
    Optional<Position> required = readPlacement.requiredPosition(statement, now);
    List<ReadOption<EndpointPool>> options =
        readPlacement.options(
            statement, required.orElse(Position.NONE), reserve, runningAtPrimary(), now);
    if (options.stream().noneMatch(ReadOption::isHeld)) {
      return new Room(
          new Capacity(1, 0, serviceMilliseconds(), outage),
          ReadDecision.millisecondsUntilReplica(options));
    }
    boolean onlyPrimary = options.stream().noneMatch(o -> o.isHeld() && !o.primary());
    return new Room(
        ReadDecision.capacity(options, outage),
        onlyPrimary ? ReadDecision.millisecondsUntilReplica(options) : Double.POSITIVE_INFINITY);
  }

  private int runningAtPrimary() {
    EndpointPool primary = primaryMonitor.primary().orElse(null);
    int running = 0;
    for (StatementAttempt attempt : runningAttempts) {
      running += attempt.pool() == primary ? 1 : 0;
    }
    return running;
  }

  private double serviceMilliseconds() {
    return pools.values().stream()
        .mapToDouble(pool -> pool.serviceTimes().mean())
        .average()
        .orElse(DEFAULT_SERVICE_TIME_IN_MILLISECONDS);
  }

  /**
   * Starts the waiting statements that can start, in their order.
   *
   * @param isOver ends a statement whose deadline has passed, and returns whether it must not start
   */
  void dispatch(Predicate<PendingStatement> isOver, Starter starter, long now) {
    for (int starts = 0; starts < MAXIMUM_STARTS && schedule.size() > 0; starts++) {
      if (pools.values().stream().noneMatch(pool -> pool.canStart(now))) {
        return;
      }
      chosenPool = Optional.empty();
      chosenPosition = Optional.empty();
      Optional<EndpointPool> primary = primaryMonitor.primaryThatCanStart(now);
      Optional<PendingStatement> next =
          schedule.take(primary.isPresent(), read -> decide(read, now), serviceMilliseconds(), now);
      if (next.isEmpty()) {
        return;
      }
      PendingStatement statement = next.get();
      if (isOver.test(statement)) {
        continue;
      }
      if (statement.needsPrimary()) {
        count(statement, now);
        starter.start(statement, primary.orElseThrow(), Optional.empty());
      } else if (chosenPool.isPresent()) {
        count(statement, now);
        starter.start(statement, chosenPool.get(), chosenPosition);
      } else {
        requirePrimary(statement, now);
      }
    }
  }

  private ReadDecision<EndpointPool> decide(PendingStatement read, long now) {
    chosenPool = Optional.empty();
    chosenPosition = readPlacement.requiredPosition(read, now);
    if (chosenPosition.isEmpty() && primaryMonitor.requestPosition(now)) {
      return ReadDecision.pause(now);
    }
    if (chosenPosition.isEmpty()) {
      return new ReadDecision<>(primaryMonitor.primary(), now);
    }
    List<ReadOption<EndpointPool>> options =
        readPlacement.options(read, chosenPosition.get(), reserve, runningAtPrimary(), now);
    boolean isHeld = options.stream().anyMatch(ReadOption::isHeld);
    if (!isHeld && now + ReadDecision.millisecondsUntilReplica(options) > read.objectiveAt()) {
      // The primary is leaving or was tried before: it may still run what only it can run.
      return new ReadDecision<>(primaryMonitor.primary(), now);
    }
    ReadDecision<EndpointPool> decision = ReadDecision.decide(options, read.objectiveAt(), now);
    chosenPool = decision.endpoint();
    return decision;
  }

  private void count(PendingStatement statement, long now) {
    if (statement.attempts() == 0) {
      int priority = statement.request().priority();
      counter(started, "gateway.started.priority-", priority).inc();
      counter(waited, "gateway.waited-milliseconds.priority-", priority)
          .inc(now - statement.arrivedAt());
    }
  }

  private Counter counter(Map<Integer, Counter> counters, String prefix, int priority) {
    return counters.computeIfAbsent(priority, any -> metrics.counter(prefix + priority));
  }

  /** Estimates waiting statements again, and refuses those that cannot complete in time. */
  void estimateAgain(long now) {
    schedule
        .estimateAgain(
            statement -> room(statement, now).capacity(),
            statement -> room(statement, now).untilReplica(),
            serviceMilliseconds(),
            now)
        .forEach(
            refusal -> {
              WaitEstimate estimate = refusal.estimate();
              if (!refusal.item().hasRunningAttempt()) {
                refusal.item().refuse(estimate);
              }
            });
  }

  List<PendingStatement> removeIf(Predicate<PendingStatement> condition) {
    return schedule.removeIf(condition);
  }

  int waitingForPrimary() {
    return schedule.waitingForPrimary();
  }

  int size() {
    return schedule.size();
  }
}
