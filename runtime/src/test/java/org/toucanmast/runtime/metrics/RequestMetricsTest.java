package org.toucanmast.runtime.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RequestKind;

/** Tests that the names of customers cannot fail the export of metrics. */
@Timeout(30)
class RequestMetricsTest {
  private static final List<String> CUSTOMERS =
      List.of(
          "a-b",
          "a_b",
          "a.b",
          "route:a",
          "a-total",
          "a",
          "a-info",
          "a-stopping",
          "größe",
          "\"\\",
          "-");

  private final Vertx vertx = Vertx.vertx();
  private final MetricRegistry registry = new MetricRegistry();
  private final RequestMetrics metrics = new RequestMetrics(registry);

  @AfterEach
  void close() throws Exception {
    vertx.close().await(10, TimeUnit.SECONDS);
  }

  private HttpResponse<String> exported() throws Exception {
    String address;
    try (ServerSocket free = new ServerSocket(0)) {
      address = "127.0.0.1:" + free.getLocalPort();
    }
    vertx
        .deployVerticle(
            new AdminServer(
                address,
                registry,
                metrics,
                () -> true,
                () -> Future.succeededFuture(new JsonObject())))
        .await(10, TimeUnit.SECONDS);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/metrics")).build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Guards against metrics of customers that come and go. */
  @Test
  void should_keep_no_metrics_of_customers_that_are_gone() {
    metrics.onSucceeded("gone", RequestKind.READ, false, 1_000);
    metrics.onRefused("gone", Refusal.FORBIDDEN);
    metrics.onRefused("-", Refusal.UNAUTHENTICATED);
    metrics.onConfiguration(
        new FleetConfiguration(1, Map.of(), Map.of(), Map.of(), Set.of(), Map.of()));

    assertThat(metrics.collect().stream().flatMap(each -> each.getDataPoints().stream()))
        .hasSize(1)
        .allMatch(point -> point.getLabels().get("customer").equals("-"));
  }

  /** Two customers whose names became the same metric failed the export of all metrics. */
  @Test
  void should_export_the_metrics_of_all_customers_whatever_their_names() throws Exception {
    for (String customer : CUSTOMERS) {
      metrics.onSucceeded(customer, RequestKind.READ, true, 7_000_000);
      metrics.onRefused(customer, Refusal.STOPPING);
    }

    HttpResponse<String> response = exported();

    assertThat(response.statusCode()).isEqualTo(200);
    for (String customer : CUSTOMERS) {
      String label = "customer=\"" + customer.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
      assertThat(response.body().lines())
          .contains(
              "requests_microseconds_customer_count{" + label + "} 1",
              "requests_refused_customer_total{code=\"stopping\"," + label + "} 1.0");
    }
    assertThat(response.body()).contains("requests_reads_replica_total " + CUSTOMERS.size() + ".0");
  }
}
