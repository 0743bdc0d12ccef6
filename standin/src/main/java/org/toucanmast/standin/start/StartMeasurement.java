package org.toucanmast.standin.start;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.toucanmast.standin.start.MeasuredVm.Reading;

/**
 * Measures the processor time of a start: runs the command line of {@code deploy/system.toml}
 * against stand-ins of the store and of an endpoint, beside a VM that is already running.
 */
public final class StartMeasurement {
  private static final String RUN_PREFIX = "run = \"";
  private static final Path SYSTEM_FILE = Path.of("deploy", "system.toml");

  private final Path root;
  private final int runs;
  private final int statements;

  /** The readings of one start, and the number of statements that failed. */
  private record Run(Reading ready, Reading served, int failed) {}

  /**
   * Creates a measurement that has not run yet.
   *
   * @param root the source tree, after {@code deploy/build}
   * @param runs the number of starts
   * @param statements the number of statements sent after each start
   */
  public StartMeasurement(Path root, int runs, int statements) {
    this.root = root;
    this.runs = runs;
    this.statements = statements;
  }

  /**
   * Starts the VM several times.
   *
   * @return rows of the phase, the medians of the processor time and of the elapsed time since the
   *     start of the process in milliseconds, the median of the peak memory in MiB, and the number
   *     of statements that failed in all runs
   * @throws IOException if a VM cannot be started or serves no session
   */
  public List<List<String>> run() throws IOException, InterruptedException {
    Vertx vertx = Vertx.vertx();
    try {
      PlatformStore store = new PlatformStore(vertx);
      int storePort = join(store.start());
      store.put("config", "main", configuration());
      store.put("servers", "endpoint-1", endpoint(join(LineEndpoint.start(vertx))));
      List<String> command = command(root.resolve(SYSTEM_FILE));
      try (MeasuredVm peer = new MeasuredVm("peer", root, command, storePort)) {
        peer.awaitSession();
        List<Run> results = new ArrayList<>();
        for (int number = 0; number < runs; number++) {
          results.add(measure(command, storePort));
        }
        return rows(results);
      }
    } finally {
      join(vertx.close());
    }
  }

  /** Returns the words of the command line with which the platform runs a VM. */
  static List<String> command(Path systemFile) throws IOException {
    String line =
        Files.readAllLines(systemFile).stream()
            .filter(each -> each.startsWith(RUN_PREFIX))
            .findFirst()
            .orElseThrow(() -> new IOException(systemFile + ": no command line"));
    return Arrays.asList(line.substring(RUN_PREFIX.length(), line.lastIndexOf('"')).split("\\s+"));
  }

  private Run measure(List<String> command, int storePort)
      throws IOException, InterruptedException {
    try (MeasuredVm vm = new MeasuredVm("measured", root, command, storePort)) {
      vm.awaitSession();
      Reading ready = vm.reading();
      int failed = vm.runStatements(statements);
      return new Run(ready, vm.reading(), failed);
    }
  }

  private static List<List<String>> rows(List<Run> results) {
    int failed = results.stream().mapToInt(Run::failed).sum();
    return List.of(
        row("ready", results.stream().map(Run::ready).toList(), 0),
        row("served", results.stream().map(Run::served).toList(), failed));
  }

  private static List<String> row(String phase, List<Reading> readings, int failed) {
    return List.of(
        phase,
        median(readings, Reading::processorMilliseconds),
        median(readings, Reading::elapsedMilliseconds),
        median(readings, Reading::peakMebibytes),
        Integer.toString(failed));
  }

  private static String median(List<Reading> readings, ToDoubleFunction<Reading> value) {
    double[] sorted = readings.stream().mapToDouble(value).sorted().toArray();
    return String.format(Locale.ROOT, "%.0f", sorted[sorted.length / 2]);
  }

  private static <T> T join(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }

  private static JsonObject configuration() {
    JsonObject route =
        new JsonObject()
            .put("host", "db")
            .put("service", "group")
            .put("type", "primary")
            .put("timeout_ms", 5_000);
    JsonObject customer =
        new JsonObject()
            .put("name", "customer")
            .put("api_keys", new JsonArray().add("key"))
            .put("rate_per_s", 100_000)
            .put("burst", 100_000);
    JsonObject group = new JsonObject().put("name", "group").put("max_conns", 20);
    return new JsonObject()
        .put("version", 1)
        .put("routes", new JsonArray().add(route))
        .put("tenants", new JsonArray().add(customer))
        .put("services", new JsonArray().add(group));
  }

  private static JsonObject endpoint(int port) {
    return new JsonObject()
        .put("service", "group")
        .put("address", "127.0.0.1:" + port)
        .put("zone", "measure")
        .put("slots", 4)
        .put("state", "ready")
        .put("db_role", "primary")
        .put("sequence", 1)
        .put("born", 1);
  }
}
