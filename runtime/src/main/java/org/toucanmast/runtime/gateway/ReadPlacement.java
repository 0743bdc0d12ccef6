package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.gateway.ReadCost;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.scheduling.PrimaryReserve;
import org.toucanmast.core.scheduling.ReadOption;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.core.statement.StatementRequest;

/**
 * Chooses the endpoint for a read that any endpoint with a recent enough log may serve.
 *
 * <p>Designed for many reads and few writes: reads go to the cheapest endpoint by {@link ReadCost}
 * among those whose log is recent enough.
 */
final class ReadPlacement {
  /** What to do with a read. */
  enum Kind {
    /** Run the read at an endpoint. */
    RUN,
    /**
     * Let the read wait: the endpoints that hold the data are full, or the primary's position has
     * been requested.
     */
    WAIT,
    /** Send the read to the primary: no other endpoint is known to hold the data. */
    PRIMARY
  }

  /**
   * A placement decision.
   *
   * @param kind what to do with the read
   * @param pool the endpoint to run the read at; empty if it is not run
   * @param minimumPosition the position that the endpoint's log must hold; empty if the read is not
   *     run
   */
  record Decision(Kind kind, Optional<EndpointPool> pool, Optional<Position> minimumPosition) {
    private static Decision of(Kind kind) {
      return new Decision(kind, Optional.empty(), Optional.empty());
    }
  }

  private final String dataCentre;
  private final Map<String, EndpointPool> pools;
  private final PositionHistory history;
  private final PrimaryMonitor primaryMonitor;
  private final NearbyReplicas nearbyReplicas;

  /**
   * Creates a placement over the given pools.
   *
   * @param dataCentre the data centre of the gateway
   */
  ReadPlacement(
      String dataCentre,
      Map<String, EndpointPool> pools,
      PositionHistory history,
      PrimaryMonitor primaryMonitor,
      NearbyReplicas nearbyReplicas) {
    this.nearbyReplicas = nearbyReplicas;
    this.dataCentre = dataCentre;
    this.pools = pools;
    this.history = history;
    this.primaryMonitor = primaryMonitor;
  }

  /** Decides what to do with a read. */
  Decision decide(PendingStatement statement, long now) {
    StatementRequest request = statement.request();
    Optional<Position> requiredPosition = requiredPosition(request, now);
    if (requiredPosition.isEmpty()) {
      return Decision.of(primaryMonitor.requestPosition(now) ? Kind.WAIT : Kind.PRIMARY);
    }
    List<EndpointPool> upToDate =
        pools.values().stream()
            .filter(pool -> pool.acceptsWork() && pool.isReachable(now))
            .filter(pool -> !request.nearbyOnly() || nearbyReplicas.contains(pool))
            .filter(pool -> !statement.hasTried(pool.entry().id()))
            .filter(pool -> probablyHolds(pool, requiredPosition.get(), now))
            .toList();
    if (upToDate.isEmpty()) {
      return Decision.of(Kind.PRIMARY);
    }
    return upToDate.stream()
        .filter(pool -> pool.canStart(now))
        .min(Comparator.comparingDouble(pool -> cost(pool, request.customer())))
        .map(pool -> new Decision(Kind.RUN, Optional.of(pool), requiredPosition))
        .orElse(Decision.of(Kind.WAIT));
  }

  /**
   * Returns the position that a read requires now, or empty if it is not known. It only grows while
   * the read waits.
   */
  Optional<Position> requiredPosition(PendingStatement statement, long now) {
    return requiredPosition(statement.request(), now);
  }

  /**
   * Returns the endpoints at which a read may run that requires a position.
   *
   * @param reserve decides which slots of the primary reads may use
   * @param runningAtPrimary the number of statements that run at the primary for this gateway
   */
  List<ReadOption<EndpointPool>> options(
      PendingStatement statement,
      Position required,
      PrimaryReserve reserve,
      int runningAtPrimary,
      long now) {
    StatementRequest request = statement.request();
    Position seen = request.kind() == RouteKind.READ_YOUR_WRITES ? request.seen() : Position.NONE;
    List<ReadOption<EndpointPool>> options = new ArrayList<>(pools.size());
    for (EndpointPool pool : pools.values()) {
      String id = pool.entry().id();
      if (!pool.acceptsWork()
          || !pool.isReachable(now)
          || statement.hasTried(id)
          || request.nearbyOnly() && !nearbyReplicas.contains(pool)) {
        continue;
      }
      boolean primary = primaryMonitor.isPrimary(id);
      int slots = pool.usableSlots(now);
      boolean open = !primary || reserve.isOpenToReads(runningAtPrimary, slots, now);
      options.add(
          new ReadOption<>(
              pool,
              primary,
              open && pool.canStart(now),
              slots,
              pool.serviceTimes().mean(),
              primary
                  ? 0
                  : pool.lag()
                      .millisecondsUntilHeld(
                          required, seen, request.stalenessInMilliseconds(), history, now),
              cost(pool, request.customer())));
    }
    return options;
  }

  private Optional<Position> requiredPosition(StatementRequest request, long now) {
    return history
        .requiredPosition(request.stalenessInMilliseconds(), now)
        .map(
            position ->
                request.kind() == RouteKind.READ_YOUR_WRITES
                    ? position.maximum(request.seen())
                    : position);
  }

  private boolean probablyHolds(EndpointPool pool, Position requiredPosition, long now) {
    return primaryMonitor.isPrimary(pool.entry().id())
        || pool.lag().probablyHolds(requiredPosition, history, now);
  }

  private double cost(EndpointPool pool, String customer) {
    if (pool.isProbeDue()) {
      return ReadCost.PROBE;
    }
    return new ReadCost(
            pool.load(),
            pool.placementFactor(),
            pool.hasIdleConnection(customer),
            primaryMonitor.isPrimary(pool.entry().id()),
            pool.entry().dataCentre().equals(dataCentre))
        .value();
  }
}
