package org.toucanmast.runtime.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.io.OutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.catalog.GroupLimits;
import org.toucanmast.core.feature.Feature;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;

/** A primary that accepts connections and never answers, and a gateway before it. */
final class SilentPrimary {
  static final int SLOTS = 3;

  private final Vertx vertx = Vertx.vertx();
  private final Map<String, StatementResult> results = new TreeMap<>();
  private final NetServer endpoint;
  private final GroupGateway gateway;
  private long now = 100_000;

  SilentPrimary(Set<Feature> features) throws Exception {
    endpoint =
        vertx
            .createNetServer()
            .connectHandler(socket -> {})
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get();
    gateway = new GroupGateway(context(features), "group");
    setSlots(SLOTS);
  }

  private GatewayContext context(Set<Feature> features) {
    GatewayContext context =
        new GatewayContext(
            vertx,
            vertx.createNetClient(),
            new NoOpDialect(),
            new VmClock(() -> now, () -> now),
            new EventLog("vm", OutputStream.nullOutputStream()),
            null,
            "a",
            1);
    context.setCatalog(
        new Catalog(1, Map.of(), Map.of(), Map.of("group", new GroupLimits(20, 0)), 3_000));
    context.setFeatures(features, new MetricRegistry());
    // Promotions are not of interest here, and only the assigned gateway orders them.
    context.setAssignedGateway(group -> false);
    return context;
  }

  GroupGateway gateway() {
    return gateway;
  }

  /** Returns the results that were given, by the ids of their statements. */
  Map<String, StatementResult> results() {
    return results;
  }

  void setSlots(int slots) {
    gateway.onEndpointUpdated(
        new EndpointEntry(
            "i-1", "group", "127.0.0.1", endpoint.actualPort(), "a", slots, false, true, 1),
        now);
  }

  void advance(long milliseconds) {
    now += milliseconds;
    gateway.sweep();
  }

  /** Runs a write of the VM "vm"; objective and timeout are in milliseconds. */
  void write(String id, int priority, long objective, long timeout) {
    execute("vm", id, Operation.WRITE, priority, objective, timeout);
  }

  void execute(
      String originVm, String id, Operation operation, int priority, long objective, long timeout) {
    StatementRequest request =
        new StatementRequest(
            id,
            "group",
            new KeyClaim<>(KeyFingerprint.of("key"), "customer", false, 1),
            operation,
            operation + " x y",
            Optional.empty(),
            Map.of(),
            operation == Operation.READ ? RouteKind.BOUNDED : RouteKind.PRIMARY,
            1_000,
            Position.NONE,
            StatementRequest.NO_TRANSACTION,
            false,
            priority,
            timeout,
            OptionalLong.of(objective),
            false);
    gateway.execute(
        request, new VmRun(originVm, 1), result -> assertThat(results.put(id, result)).isNull());
  }

  /** Starts as many statements as the endpoint takes. */
  void occupy() {
    for (int statement = 0; statement < SLOTS + 1; statement++) {
      write("running-" + statement, 1, 10_000, 10_000);
    }
  }

  void close() {
    vertx.close();
  }
}
