package org.toucanmast.runtime.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class AdminServerTest {
  private final Vertx vertx = Vertx.vertx();
  private final MetricRegistry registry = new MetricRegistry();

  @AfterEach
  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private HttpResponse<String> metrics() throws Exception {
    int port = freePort();
    AdminServer server =
        new AdminServer(
            "127.0.0.1:" + port,
            registry,
            () -> true,
            () -> Future.succeededFuture(new JsonObject()));
    vertx
        .deployVerticle(server)
        .toCompletionStage()
        .toCompletableFuture()
        .get(10, TimeUnit.SECONDS);
    URI address = URI.create("http://127.0.0.1:" + port + "/metrics");
    return HttpClient.newHttpClient()
        .send(HttpRequest.newBuilder(address).build(), HttpResponse.BodyHandlers.ofString());
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Two names that differ in such characters only left every request without an answer. */
  @Test
  void should_report_each_customer_whatever_the_names_are() throws Exception {
    List<String> customers =
        List.of(
            "plain1",
            "total",
            "info",
            "a_total",
            "a_info",
            "a-b",
            "a_b",
            "a.b",
            "a b",
            "a_002db",
            "a\nb 1",
            "a\"b",
            "\u00fc",
            "\u6771",
            "\u4eac",
            "\ud83d\ude00");
    for (String customer : customers) {
      registry.histogram(MetricNames.join("requests.microseconds.customer", customer)).update(1);
    }

    HttpResponse<String> answer = metrics();

    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(
            answer
                .body()
                .lines()
                .filter(line -> line.matches("requests_microseconds_customer_\\w+_count 1"))
                .distinct())
        .hasSameSizeAs(customers)
        .contains("requests_microseconds_customer_plain1_count 1");
    assertThat(answer.body().lines())
        .allMatch(line -> line.startsWith("#") || line.matches("\\w+(\\{[^}]*})? \\S+"));
  }
}
