import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A new version of the configuration gives a key to another tenant while sessions that were opened
 * with the key are inside transactions. Checks for which tenant the servers run the statements
 * that are sent after the version must be in force.
 */
final class KeyCase {
  private static final int MACHINES = 3;
  private static final int SESSIONS = 6;
  private static final int CONFIG_APPLY_MS = 3_000;

  /** Below the time after which an idle transaction may be ended, 3,000 ms. */
  private static final int PAUSE_MS = 900;

  private static final int READS = 6;
  private static final String BEFORE = "clinic";
  private static final String AFTER = "hospital";

  private KeyCase() {}

  public static void main(String[] arguments) {
    World.exitWith(() -> run(Path.of(arguments[0])));
  }

  private static int run(Path record) throws Exception {
    try (World world = new World(record, 8)) {
      world.configure(Map.of("shop", "primary"));
      world.startMachines(MACHINES);
      List<Client> clients = new ArrayList<>();
      for (int number = 0; number < SESSIONS; number++) {
        Client client = new Client(world.fleet.vms.get(number % MACHINES), 5_000);
        client.open("shop", World.KEY);
        ask(world, client, number + "-begin", "BEGIN");
        ask(world, client, number + "-read-0", "READ item-" + number);
        clients.add(client);
      }
      if (world.trouble) {
        world.tenant = AFTER;
      }
      world.configure(Map.of("shop", "primary"));
      long acknowledgedAt = System.nanoTime();
      world.note("the key belongs to " + world.tenant + " from now on");
      for (int read = 1; read <= READS; read++) {
        Thread.sleep(PAUSE_MS);
        for (int number = 0; number < SESSIONS; number++) {
          ask(world, clients.get(number), number + "-read-" + read, "READ item-" + number);
        }
      }
      long boundAt = acknowledgedAt + CONFIG_APPLY_MS * 1_000_000L;
      long lateFrom = System.nanoTime();
      world.note("from here on, statements are sent " + (lateFrom - acknowledgedAt) / 1_000_000
          + " ms or more after the acknowledgement");
      for (int number = 0; number < SESSIONS; number++) {
        ask(world, clients.get(number), number + "-write", "WRITE item-" + number + " data");
        ask(world, clients.get(number), number + "-commit", "COMMIT");
      }
      if (lateFrom < boundAt) {
        return 2;
      }
      int runs = 0;
      int foreign = 0;
      for (Database.Run run : world.database.runs) {
        boolean late = run.id().endsWith("-write") || run.id().endsWith("-commit");
        if (late) {
          runs++;
          foreign += run.tenant().equals(world.tenant) ? 0 : 1;
          world.note("server: ran " + run.id() + " for tenant " + run.tenant());
        }
      }
      for (Client client : clients) {
        client.close();
      }
      world.note(
          "writes and commits run after the bound: "
              + runs
              + ", of these for a tenant that does not hold the key "
              + foreign);
      return foreign > 0 ? 1 : 0;
    }
  }

  private static void ask(World world, Client client, String id, String text) {
    try {
      Client.Answer answer = client.query(id, text);
      world.note("client: " + id + " " + text + ": " + answer.lines() + " " + answer.state());
    } catch (IOException e) {
      world.note("client: " + id + " " + text + ": " + e.getMessage());
    }
  }
}
