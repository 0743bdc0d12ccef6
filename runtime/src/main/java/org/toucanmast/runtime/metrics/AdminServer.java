package org.toucanmast.runtime.metrics;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.MultiCollector;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** HTTP server for health checks, metrics and status; runs on an event loop of its own. */
public final class AdminServer extends VerticleBase {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final HostAndPort address;
  private final List<MultiCollector> metrics;
  private final BooleanSupplier ready;
  private final Supplier<Future<JsonObject>> status;

  /** Creates a server that does not listen yet and exports the metrics of a registry only. */
  public AdminServer(
      String address,
      MetricRegistry registry,
      BooleanSupplier ready,
      Supplier<Future<JsonObject>> status) {
    this(address, registry, MetricSnapshots::of, ready, status);
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @param address IP address and port to listen on
   * @param registry the metrics without labels
   * @param labelledMetrics collects the metrics with labels
   * @param ready whether load balancers may send callers to this VM
   * @param status the report of what this VM knows about the fleet
   */
  public AdminServer(
      String address,
      MetricRegistry registry,
      MultiCollector labelledMetrics,
      BooleanSupplier ready,
      Supplier<Future<JsonObject>> status) {
    this.address = HostAndPort.fromString(address);
    this.metrics = List.of(new DropwizardExports(registry), labelledMetrics);
    this.ready = ready;
    this.status = status;
  }

  @Override
  public Future<?> start() {
    return vertx
        .createHttpServer()
        .requestHandler(this::handle)
        .listen(address.getPort(), address.getHost());
  }

  private void handle(HttpServerRequest request) {
    switch (request.path()) {
      case "/live" -> answer(request, OK, "live\n");
      case "/ready" -> {
        boolean isReady = ready.getAsBoolean();
        answer(request, isReady ? OK : UNAVAILABLE, isReady ? "ready\n" : "not ready\n");
      }
      case "/metrics" -> answerMetrics(request);
      case "/status" ->
          status
              .get()
              .onSuccess(json -> answer(request, OK, json.encodePrettily() + "\n"))
              .onFailure(cause -> answer(request, UNAVAILABLE, cause.getMessage() + "\n"));
      default -> answer(request, NOT_FOUND, "try /live, /ready, /metrics or /status\n");
    }
  }

  private void answerMetrics(HttpServerRequest request) {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try {
      MetricSnapshots.Builder snapshots = MetricSnapshots.builder();
      metrics.forEach(collector -> collector.collect().forEach(snapshots::metricSnapshot));
      PrometheusTextFormatWriter.create().write(text, snapshots.build());
      request
          .response()
          .putHeader("Content-Type", PrometheusTextFormatWriter.CONTENT_TYPE)
          .end(Buffer.buffer(text.toByteArray()));
    } catch (IOException | IllegalArgumentException e) {
      answer(request, UNAVAILABLE, "metrics cannot be written: " + e.getMessage() + "\n");
    }
  }

  private static void answer(HttpServerRequest request, int code, String text) {
    request.response().setStatusCode(code).end(text);
  }
}
