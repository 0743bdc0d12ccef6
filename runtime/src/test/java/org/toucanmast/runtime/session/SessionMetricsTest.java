package org.toucanmast.runtime.session;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.catalog.Customer;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.core.statement.StatementResult;

/** Guards against metrics of customers and databases that come and go, which filled the heap. */
class SessionMetricsTest {
  private final MetricRegistry registry = new MetricRegistry();
  private final SessionMetrics metrics = new SessionMetrics(registry);

  private static Catalog catalog(long version, String customer) {
    return new Catalog(
        version,
        Map.of(),
        Map.of(KeyFingerprint.of("key"), new Customer(customer, new Allowance(1, 1))),
        Map.of(),
        1_000);
  }

  @Test
  void should_keep_no_metrics_of_customers_and_databases_that_are_gone() {
    StatementResult result =
        new StatementResult(ResultCode.SUCCESS, List.of(), "", Position.NONE, 0);
    for (int version = 1; version <= 100; version++) {
      String customer = "customer" + version;
      metrics.onCatalog(catalog(version, customer));
      metrics.onResult(customer, RouteKind.PRIMARY, ResultCode.SUCCESS, 1);
      metrics.onResult("-", RouteKind.PRIMARY, ResultCode.SUCCESS, 1);
      metrics.onOutcome("database" + version, result, 1);
    }
    metrics.onCatalog(catalog(101, "customer100"));

    assertThat(registry.getNames())
        .filteredOn(name -> name.startsWith("session.customer."))
        .containsExactlyInAnyOrder("session.customer.customer100", "session.customer._002d");
    assertThat(registry.getNames()).noneMatch(name -> name.startsWith("session.objective."));
  }
}
