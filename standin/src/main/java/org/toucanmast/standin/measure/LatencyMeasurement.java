package org.toucanmast.standin.measure;

import com.google.common.net.HostAndPort;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.toucanmast.standin.database.EndpointSettings;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;
import org.toucanmast.standin.fleet.FleetVm;
import org.toucanmast.standin.load.LoadClient;

/** Measures the latency that a VM adds to calls of an endpoint, and the throughput of one VM. */
final class LatencyMeasurement {
  private static final String CUSTOMER = "bench-1";
  private static final String DATABASE = "stock";
  private static final int CONNECTIONS = 64;
  private static final int WORKERS_PER_CORE = 8;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final EndpointSettings FAST_ENDPOINTS =
      new EndpointSettings(CONNECTIONS, 4 * CONNECTIONS, 0, 0, 0);

  private final long seconds;
  private final Vertx vertx = Vertx.vertx();

  LatencyMeasurement(long seconds) {
    this.seconds = seconds;
  }

  /**
   * Measures direct calls of an endpoint, and reads and writes through a VM.
   *
   * @return rows of: measured exchange, concurrent workers, exchanges per second, median and 99th
   *     percentile of the latency in microseconds, failures, CPU use of the VM in percent of a
   *     core, resident memory of the VM in MiB
   */
  List<List<String>> run() throws IOException {
    List<List<String>> rows = new ArrayList<>();
    String configuration =
        Deployment.LENTES
            .template()
            .replace("connections = 20", "connections = " + 4 * CONNECTIONS)
            .replace("slots = 3", "slots = " + CONNECTIONS)
            .replace("rate = 80/s", "rate = 1000000/s")
            .replace("burst = 40", "burst = 1000000");
    FleetPlan plan =
        FleetPlan.of(Deployment.LENTES)
            .withVms(1)
            .withEndpointSettings(FAST_ENDPOINTS)
            .withConfiguration(configuration);
    try (Fleet fleet = Fleet.start(plan)) {
      FleetVm vm = fleet.vms().get("vm-1");
      rows.add(idleRow(vm));
      warmUp(fleet, vm);
      for (int workers : new int[] {1, 8, 32}) {
        rows.add(row("direct read", workers, fleet, vm, directRead(fleet)));
        rows.add(row("read at a replica", workers, fleet, vm, readThroughVm(vertx, vm)));
        rows.add(row("write, by position", workers, fleet, vm, writeThroughVm(vm)));
      }
      for (int cores : new int[] {1, 2, 4}) {
        rows.add(readFromCores(cores, vm));
      }
      return rows;
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  /** Reads at replicas with load from several event loops, each of which uses at most one core. */
  private List<String> readFromCores(int cores, FleetVm vm) throws IOException {
    ProcessUsage before = ProcessUsage.of(vm.process().pid());
    List<CompletableFuture<ClosedLoop.Result>> running = new ArrayList<>();
    for (int core = 0; core < cores; core++) {
      running.add(CompletableFuture.supplyAsync(() -> readFromOneCore(vm)));
    }
    Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
    double perSecond = 0;
    long failures = 0;
    for (CompletableFuture<ClosedLoop.Result> each : running) {
      ClosedLoop.Result result = each.join();
      latency.add(result.latencyInMicroseconds());
      perSecond += result.perSecond();
      failures += result.failures();
    }
    ProcessUsage after = ProcessUsage.of(vm.process().pid());
    ClosedLoop.Result total = new ClosedLoop.Result(latency, perSecond, failures);
    return row("read, load of " + cores + " cores", cores * WORKERS_PER_CORE, total, before, after);
  }

  private ClosedLoop.Result readFromOneCore(FleetVm vm) {
    Vertx clientVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    try {
      return ClosedLoop.run(
          clientVertx, WORKERS_PER_CORE, seconds, readThroughVm(clientVertx, vm)::start);
    } finally {
      clientVertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  /** Starts one exchange of a worker; the result tells whether it succeeded. */
  private interface Exchange {
    Future<Boolean> start(int worker);
  }

  private void warmUp(Fleet fleet, FleetVm vm) {
    ClosedLoop.run(vertx, 16, seconds, readThroughVm(vertx, vm)::start);
    ClosedLoop.run(vertx, 16, seconds, writeThroughVm(vm)::start);
    ClosedLoop.run(vertx, 16, seconds, directRead(fleet)::start);
  }

  private static List<String> idleRow(FleetVm vm) throws IOException {
    ProcessUsage usage = ProcessUsage.of(vm.process().pid());
    return List.of(
        "at rest",
        "0",
        "0",
        "0",
        "0",
        "0",
        "0",
        MeasurementUtils.decimal(usage.residentMebibytes()));
  }

  private List<String> row(String label, int workers, Fleet fleet, FleetVm vm, Exchange exchange)
      throws IOException {
    ProcessUsage before = ProcessUsage.of(vm.process().pid());
    ClosedLoop.Result result = ClosedLoop.run(vertx, workers, seconds, exchange::start);
    return row(label, workers, result, before, ProcessUsage.of(vm.process().pid()));
  }

  private List<String> row(
      String label,
      int workers,
      ClosedLoop.Result result,
      ProcessUsage before,
      ProcessUsage after) {
    Histogram latency = result.latencyInMicroseconds();
    return List.of(
        label,
        Integer.toString(workers),
        MeasurementUtils.decimal(result.perSecond()),
        Long.toString(latency.getValueAtPercentile(50)),
        Long.toString(latency.getValueAtPercentile(99)),
        Long.toString(result.failures()),
        MeasurementUtils.decimal(100 * (after.cpuSeconds() - before.cpuSeconds()) / seconds),
        MeasurementUtils.decimal(after.residentMebibytes()));
  }

  private Exchange directRead(Fleet fleet) {
    HostAndPort address = HostAndPort.fromString(fleet.endpointAddresses().get("stock-2"));
    HttpClientAgent client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(CONNECTIONS));
    JsonObject call =
        new JsonObject()
            .put("callId", 1)
            .put("operation", "run")
            .put("requestId", "direct")
            .put("kind", "read")
            .put("term", 1)
            .put("primary", false)
            .put("statements", new JsonArray().add("get pair"));
    return worker ->
        client
            .request(HttpMethod.POST, address.getPort(), address.getHost(), "/call")
            .compose(request -> request.send(call.toBuffer()))
            .compose(response -> response.body())
            .map(body -> body.toJsonObject().getString("result").equals("ran"));
  }

  private static Exchange readThroughVm(Vertx vertx, FleetVm vm) {
    LoadClient client = new LoadClient(vertx);
    String[] token = {""};
    JsonObject body =
        new JsonObject().put("kind", "read").put("statements", new JsonArray().add("get pair"));
    return worker ->
        send(client, vm, token[0], body)
            .map(
                answer -> {
                  if (answer.token() != null) {
                    token[0] = answer.token();
                  }
                  return answer.outcome().equals("ran");
                });
  }

  private Exchange writeThroughVm(FleetVm vm) {
    LoadClient client = new LoadClient(vertx);
    JsonObject body =
        new JsonObject()
            .put("kind", "write")
            .put("statements", new JsonArray().add("put pair sorted"));
    return worker -> send(client, vm, "", body).map(answer -> answer.outcome().equals("ran"));
  }

  private static Future<LoadClient.Answer> send(
      LoadClient client, FleetVm vm, String token, JsonObject body) {
    String path = "/v1/databases/" + DATABASE + "/requests";
    return client.send(vm.callerAddress(), path, Fleet.keyOf(CUSTOMER), token, "", body);
  }
}
