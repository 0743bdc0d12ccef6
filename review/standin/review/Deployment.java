package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A small deployment like lsv-medellin: three zones, one VM and one backend in each. */
final class Deployment implements AutoCloseable {
  static final String SERVICE = "inventario1";
  static final String PRIMARY_DATABASE = "intake1";
  static final String BOUNDED_DATABASE = "catalogue1";
  static final String OWN_DATABASE = "dispatch1";
  static final String KEY = "k3yOfTheOnlyTenant";
  static final String[] ZONES = {"antioquia-a", "antioquia-b", "antioquia-c"};
  static final int DRAIN_IN_MILLISECONDS = 7_000;
  static final int STABLE_IN_MILLISECONDS = 4_000;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Recorder recorder;
  final Store store = new Store();
  final Map<String, Group> groups = new HashMap<>();
  final Failover failover;
  final Fleet fleet;
  final List<Endpoint> endpoints = new ArrayList<>();
  final Group group;

  Deployment(Path folder, int syncReplicas) throws Exception {
    this(folder, syncReplicas, List.of());
  }

  /** Creates a deployment with further tenants beside the one with {@link #KEY}. */
  Deployment(Path folder, int syncReplicas, List<Map<String, Object>> furtherTenants)
      throws Exception {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    recorder = new Recorder(folder.resolve("record.txt"));
    store.start();
    failover = new Failover(groups, recorder);
    failover.start();
    store.write("config", "main", configuration(syncReplicas, furtherTenants));
    group = new Group(SERVICE, store, recorder, syncReplicas);
    groups.put(SERVICE, group);
    String[] ids = {"i-70000001", "i-70000002", "i-70000003"};
    for (int index = 0; index < ZONES.length; index++) {
      endpoints.add(group.add(ids[index], ZONES[index], 3, 21));
    }
    fleet = new Fleet(Path.of("").toAbsolutePath(), recorder);
    int network = Fleet.randomNetwork();
    for (int index = 0; index < ZONES.length; index++) {
      fleet.add("front-" + ZONES[index] + "-1", ZONES[index], network, index + 11);
    }
  }

  private static Map<String, Object> configuration(
      int syncReplicas, List<Map<String, Object>> furtherTenants) {
    List<Map<String, Object>> tenants = new ArrayList<>(furtherTenants);
    tenants.add(tenant("nypu920", KEY));
    return Store.body(
        "version",
        7,
        "routes",
        List.of(
            route(PRIMARY_DATABASE, "primary", 1_000, 1, 0),
            route(BOUNDED_DATABASE, "bounded", 2_000, 2, 1_500),
            route(OWN_DATABASE, "read_your_writes", 1_000, 2, 2_500)),
        "services",
        List.of(
            Store.body(
                "name", SERVICE,
                "health_path", "/health",
                "max_conns", 21,
                "protocol", "h1",
                "tls", false,
                "cold_s", 0.0,
                "cold_per_s", 0.0,
                "sync_replicas", syncReplicas)),
        "limits",
        Store.body(
            "header_bytes", 16_384,
            "body_bytes", 262_144,
            "header_ms", 3_000,
            "idle_ms", 15_000,
            "tx_idle_ms", 3_000),
        "tenants",
        tenants);
  }

  static Map<String, Object> tenant(String name, String key) {
    return Store.body(
        "name", name,
        "api_keys", List.of(key),
        "priority", 1,
        "rate_per_s", 200,
        "burst", 200);
  }

  private static Map<String, Object> route(
      String host, String type, int timeout, int priority, int staleness) {
    Map<String, Object> route =
        Store.body(
            "name", "r-" + host,
            "host", host,
            "prefix", "/",
            "type", type,
            "timeout_ms", timeout,
            "goal_ms", 400,
            "priority", priority,
            "service", SERVICE,
            "max_attempts", 2,
            "anonymous", false);
    if (staleness > 0) {
      route.put("max_staleness_ms", staleness);
    }
    return route;
  }

  /** Starts the VMs; returns after they have been ready for the time that makes them in touch. */
  void start() throws Exception {
    fleet.start(store.address(), failover.address());
    if (!fleet.awaitReady(40)) {
      recorder.say("the VMs did not become ready");
      close();
      System.exit(2);
    }
    Thread.sleep(STABLE_IN_MILLISECONDS + 1_000);
  }

  /** Ends everything and the process: 1 if the rule was broken, 0 if it held. */
  void finish(boolean ran) {
    int violations = recorder.violations();
    recorder.say(
        "%s: %s", trouble ? "with the disruption" : "without it",
        !ran ? "could not run" : violations > 0 ? "rule broken " + violations + " times" : "rule held");
    close();
    System.exit(!ran ? 2 : violations > 0 ? 1 : 0);
  }

  @Override
  public void close() {
    fleet.close();
    recorder.close();
  }

  static void sleepUntil(double time) throws InterruptedException {
    long left = (long) (time - Recorder.now());
    if (left > 0) {
      Thread.sleep(left);
    }
  }
}
