import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;

/**
 * A small deployment: three zones, a service with a primary and two replicas, and entry machines.
 * The bounds are those of the site lsv-medellin.
 */
final class World implements AutoCloseable {
  static final String SERVICE = "stock";
  static final String KEY = "key-of-clinic";
  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  final ObjectStore store;
  final Database database;
  final Fleet fleet;
  final Path folder;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private long configurationVersion = 10;
  /** Rate and burst of the tenant. */
  int rate = 200;
  int burst = 200;
  int timeoutMs = 1_000;

  /** The tenant that holds the key. */
  String tenant = "clinic";

  /**
   * Creates a deployment without machines.
   *
   * @param recordFile the file to which everything that counts is written
   */
  World(Path recordFile, long workMs) throws IOException {
    Path root = Path.of("").toAbsolutePath();
    folder = Files.createTempDirectory("review-2-");
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    String subnet = Fleet.freeSubnet();
    store = new ObjectStore(subnet + ".2");
    database = new Database(store, SERVICE, 60, workMs, 3, 21);
    for (int number = 0; number < ZONES.size(); number++) {
      database.start("i-" + (number + 1), subnet + ".3", ZONES.get(number));
    }
    store.onFailover(
        (service, id, holder, token) -> {
          note("platform: failover of " + service + " to " + id + " by " + holder + " token " + token);
          database.promote(id, 300);
          return 200;
        });
    fleet = new Fleet(root, folder, subnet, store.address(), bounds());
  }

  /** Ends the process with the result of a case, or with 2 if the case could not run. */
  static void exitWith(Callable<Integer> run) {
    int status;
    try {
      status = run.call();
    } catch (Throwable e) {
      e.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }

  private static Map<String, String> bounds() {
    Map<String, String> bounds = new HashMap<>();
    bounds.put("bounds.grace_s", "6");
    bounds.put("bounds.config_apply_ms", "3000");
    bounds.put("bounds.evacuate_ms", "5000");
    bounds.put("bounds.drain_ms", "7000");
    bounds.put("bounds.stable_ms", "4000");
    return bounds;
  }

  /** Writes the next version of the configuration; a route for each database name. */
  void configure(Map<String, String> typeByDatabase) {
    List<String> routes = new ArrayList<>();
    new TreeMap<>(typeByDatabase)
        .forEach(
            (name, type) ->
                routes.add(
                    "{\"name\":\"route-"
                        + name
                        + "\",\"host\":\""
                        + name
                        + "\",\"prefix\":\"/\",\"max_attempts\":2,\"anonymous\":false"
                        + ",\"service\":\""
                        + SERVICE
                        + "\",\"type\":\""
                        + type
                        + "\",\"timeout_ms\":"
                        + timeoutMs
                        + ",\"goal_ms\":400,\"priority\":1,\"max_staleness_ms\":1500}"));
    configurationVersion++;
    store.put(
        "config",
        "main",
        "{\"version\":"
            + configurationVersion
            + ",\"routes\":["
            + String.join(",", routes)
            + "],\"services\":[{\"name\":\""
            + SERVICE
            + "\",\"max_conns\":21}],\"tenants\":[{\"name\":\""
            + tenant
            + "\",\"api_keys\":[\""
            + KEY
            + "\"],\"rate_per_s\":"
            + rate
            + ",\"burst\":"
            + burst
            + "},{\"name\":\"desk\",\"api_keys\":[\"key-of-desk\"],\"rate_per_s\":200,"
            + "\"burst\":200}],\"limits\":{\"tx_idle_ms\":3000}}");
  }

  /** Starts machines and waits until all are ready and their sessions are served. */
  void startMachines(int count) throws IOException, InterruptedException {
    for (int number = 0; number < count; number++) {
      fleet.start("front-" + (number + 1), ZONES.get(number % ZONES.size()));
    }
    if (!fleet.awaitReady(30_000)) {
      throw new IOException("the machines did not become ready");
    }
    Thread.sleep(2_000);
  }

  /** Writes a line to the record, with the seconds since the start. */
  synchronized void note(String text) {
    record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
  }

  /** Copies the errors in the logs of the machines to the record. */
  void noteErrors() throws IOException {
    for (Fleet.Vm vm : fleet.vms) {
      int errors = 0;
      if (Files.exists(vm.log)) {
        for (String line : Files.readAllLines(vm.log)) {
          if (line.contains("\"ERROR\"") && ++errors <= 5) {
            note("log of " + vm.name + ": " + line);
          }
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    fleet.stop();
    database.stop();
    store.stop();
    record.close();
    if (System.getenv("KEEP") == null) {
      try (var files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(folder);
    }
  }
}
