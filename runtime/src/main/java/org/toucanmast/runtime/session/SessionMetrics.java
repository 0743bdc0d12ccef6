package org.toucanmast.runtime.session;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.scheduling.ObjectiveOutcome;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.metrics.HdrReservoir;
import org.toucanmast.runtime.metrics.MetricNames;

/** Counts statements by result, and measures latencies by customer and by kind of route. */
final class SessionMetrics {
  private final MetricRegistry registry;
  private final Map<String, Timer> byCustomer = new HashMap<>();
  private final Map<RouteKind, Timer> byRouteKind = new HashMap<>();
  private final Map<String, Map<ObjectiveOutcome, Counter>> outcomes = new HashMap<>();

  SessionMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Removes the metrics of customers and databases that a new configuration no longer has. */
  void onCatalog(Catalog catalog) {
    Set<String> customers = new HashSet<>();
    customers.add(KeyClaim.ANONYMOUS);
    catalog.customersByKey().values().forEach(customer -> customers.add(customer.name()));
    removeTimers(customers);
    outcomes
        .entrySet()
        .removeIf(
            entry -> {
              boolean gone = catalog.route(entry.getKey()).isEmpty();
              if (gone) {
                entry.getValue().keySet().forEach(o -> registry.remove(name(entry.getKey(), o)));
              }
              return gone;
            });
  }

  private void removeTimers(Set<String> customers) {
    byCustomer
        .keySet()
        .removeIf(
            customer -> {
              boolean gone = !customers.contains(customer);
              if (gone) {
                registry.remove(nameOf(customer));
              }
              return gone;
            });
  }

  private static String nameOf(String customer) {
    return MetricNames.join("session.customer", customer);
  }

  private static String name(String database, ObjectiveOutcome outcome) {
    return MetricNames.join("session.objective", database)
        + "."
        + outcome.name().toLowerCase(Locale.ROOT);
  }

  /** Counts a statement's result, and records its latency if it succeeded. */
  void onResult(String customer, RouteKind routeKind, ResultCode code, long milliseconds) {
    registry.counter("session.results." + code.name().toLowerCase(Locale.ROOT)).inc();
    if (code == ResultCode.SUCCESS) {
      byCustomer
          .computeIfAbsent(customer, name -> timer(nameOf(name)))
          .update(milliseconds, TimeUnit.MILLISECONDS);
      byRouteKind
          .computeIfAbsent(
              routeKind, any -> timer("session.route." + routeKind.name().toLowerCase(Locale.ROOT)))
          .update(milliseconds, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Counts a statement by its route and its outcome for the objective.
   *
   * @param database the database name of the route
   * @param leftInMilliseconds what is left of the objective at the answer
   */
  void onOutcome(String database, StatementResult result, long leftInMilliseconds) {
    ObjectiveOutcome outcome =
        ObjectiveOutcome.of(
            result.isSuccess(), result.code().guaranteesNoEffect(), leftInMilliseconds);
    outcomes
        .computeIfAbsent(database, any -> new EnumMap<>(ObjectiveOutcome.class))
        .computeIfAbsent(outcome, any -> registry.counter(name(database, outcome)))
        .inc();
  }

  private Timer timer(String name) {
    return registry.timer(name, () -> new Timer(new HdrReservoir()));
  }
}
