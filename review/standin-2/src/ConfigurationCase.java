import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The configuration has grown by many routes, and then changes many times. Each version adds a
 * database; once the version must be in force on all machines, a client opens a session for it.
 */
final class ConfigurationCase {
  private static final int MACHINES = 3;
  private static final int ADDED_ROUTES = 350;
  private static final int ADDITIONS = 4;
  private static final int STORMS = 8;
  private static final int CHANGES_OF_STORM = 25;
  private static final int GAP_MS = 80;
  private static final int PROBED_VERSIONS = 5;
  private static final int PAUSE_MS = 1_500;
  private static final int CONFIG_APPLY_MS = 3_000;
  private static final int CLIENT_TIMEOUT_MS = 10_000;

  private final World world;
  private final Map<String, String> types = new TreeMap<>();
  private final ExecutorService clients = Executors.newCachedThreadPool();
  private final List<Future<?>> probes = new ArrayList<>();
  private final AtomicInteger outdated = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger opened = new AtomicInteger();
  private int versions;

  private ConfigurationCase(World world) {
    this.world = world;
  }

  public static void main(String[] arguments) {
    World.exitWith(
        () -> {
          try (World world = new World(Path.of(arguments[0]), 8)) {
            return new ConfigurationCase(world).run();
          }
        });
  }

  private int run() throws Exception {
    types.put("shop", "primary");
    world.configure(types);
    world.startMachines(MACHINES);
    for (int addition = 0; addition < ADDITIONS; addition++) {
      for (int route = 0; route < ADDED_ROUTES; route++) {
        types.put("added-" + addition + "-" + route, "bounded");
      }
      change();
      Thread.sleep(PAUSE_MS);
    }
    world.note("the configuration has " + types.size() + " routes");
    for (int storm = 0; storm < STORMS; storm++) {
      for (int change = 0; change < (world.trouble ? CHANGES_OF_STORM : 1); change++) {
        change();
        Thread.sleep(GAP_MS);
      }
      Thread.sleep(PAUSE_MS);
      world.note(versions + " versions written");
    }
    for (int last = 0; last < 5; last++) {
      change();
      Thread.sleep(CONFIG_APPLY_MS);
    }
    for (Future<?> probe : probes) {
      probe.get();
    }
    clients.shutdown();
    for (Fleet.Vm vm : world.fleet.vms) {
      world.note(vm.name + " counts as ready: " + vm.isReady());
    }
    world.noteErrors();
    world.note(
        "sessions opened "
            + opened
            + ", refused as only an older version allows "
            + outdated
            + ", without an answer "
            + unanswered);
    return opened.get() == 0 ? 2 : outdated.get() > 0 ? 1 : 0;
  }

  /** Writes a version with another route; that of every few versions stays, and clients ask for it. */
  private void change() {
    types.remove("probe-" + versions);
    versions++;
    types.put("probe-" + versions, "bounded");
    String kept = "kept-" + versions;
    boolean isProbed = versions % PROBED_VERSIONS == 0;
    if (isProbed) {
      types.put(kept, "bounded");
    }
    world.configure(types);
    long acknowledgedAt = System.nanoTime();
    if (isProbed) {
      world.note("acknowledged: a version that adds the database " + kept);
      for (Fleet.Vm vm : world.fleet.vms) {
        probes.add(clients.submit(() -> probe(vm, kept, acknowledgedAt)));
      }
    }
  }

  private void probe(Fleet.Vm vm, String database, long acknowledgedAt) {
    try {
      Thread.sleep(CONFIG_APPLY_MS + 100);
      long sentAt = System.nanoTime();
      try (Client client = new Client(vm, CLIENT_TIMEOUT_MS)) {
        client.open(database, World.KEY);
        opened.incrementAndGet();
        world.note(vm.name + ": START " + database + ": READY");
      } catch (IOException e) {
        boolean refused = String.valueOf(e.getMessage()).contains("NODB");
        (refused ? outdated : unanswered).incrementAndGet();
        world.note(
            vm.name
                + ": START "
                + database
                + " sent "
                + (sentAt - acknowledgedAt) / 1_000_000
                + " ms after the acknowledgement, ended after "
                + (System.nanoTime() - sentAt) / 1_000_000
                + " ms: "
                + e.getMessage());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
