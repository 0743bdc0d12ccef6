import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Sessions of one tenant send far more statements than the tenant's limit allows, without waiting
 * for answers; their machine is then stopped as planned. Checks that no success belongs to another
 * statement than the one that it answers.
 */
final class FloodCase {
  private static final int MACHINES = 3;
  private static final int SESSIONS = 12;
  private static final int STATEMENTS = 1_500;
  private static final int RATE = 20;
  private static final int GRACE_S = 6;

  /** Pause before each statement without the flood, so that sessions last until the stop. */
  private static final int PAUSE_MS = 20;

  private FloodCase() {}

  public static void main(String[] arguments) throws Exception {
    World.exitWith(() -> run(Path.of(arguments[0])));
  }

  private static int run(Path record) throws Exception {
    try (World world = new World(record, 8)) {
      world.rate = RATE;
      world.burst = RATE;
      world.configure(Map.of("shop", "primary"));
      world.startMachines(MACHINES);
      Fleet.Vm machine = world.fleet.vms.get(0);
      ExecutorService threads = Executors.newFixedThreadPool(SESSIONS);
      List<Session> sessions = new ArrayList<>();
      List<Future<?>> ends = new ArrayList<>();
      for (int number = 0; number < SESSIONS; number++) {
        Session session = new Session(world, machine, number);
        sessions.add(session);
        ends.add(threads.submit(session::serve));
      }
      Thread.sleep(8_000);
      world.note("SIGTERM to " + machine.name);
      Fleet.signal(machine, "TERM");
      if (!machine.process.waitFor(GRACE_S, TimeUnit.SECONDS)) {
        world.note("SIGKILL to " + machine.name);
        machine.process.destroyForcibly();
      }
      for (Future<?> end : ends) {
        end.get();
      }
      threads.shutdown();
      int foreign = sessions.stream().mapToInt(session -> session.foreign).sum();
      int successes = sessions.stream().mapToInt(session -> session.successes).sum();
      int lost = sessions.stream().mapToInt(session -> session.lostWrites()).sum();
      world.database.runs.forEach(
          statement ->
              world.note(
                  "server "
                      + statement.server()
                      + ": ran "
                      + statement.id()
                      + " "
                      + statement.text()
                      + ": "
                      + statement.result()));
      int kept = sessions.stream().mapToInt(session -> session.keptWrites()).sum();
      int missing = sessions.stream().mapToInt(session -> session.sent - session.answered).sum();
      world.noteErrors();
      world.note(
          "successes "
              + successes
              + ", of these with the signature of another statement "
              + foreign
              + "; writes that were answered with success and are in no log "
              + lost
              + "; writes that were refused with a promise and are in the log "
              + kept
              + "; statements without an answer "
              + missing);
      return successes == 0 ? 2 : foreign > 0 ? 1 : 0;
    }
  }

  /** One session, whose statements are numbered. */
  private static final class Session {
    private final World world;
    private final Fleet.Vm machine;
    private final int number;
    private int sent;
    private int answered;
    private int successes;
    private int foreign;
    private final List<String> acknowledgedWrites = new ArrayList<>();
    private final List<String> refusedWrites = new ArrayList<>();

    Session(World world, Fleet.Vm machine, int number) {
      this.world = world;
      this.machine = machine;
      this.number = number;
    }

    private String id(int statement) {
      return String.format("%02x%06x", number, statement);
    }

    /** Returns the line of a statement: every second one is a write. */
    private String line(int statement) {
      String item = "item-" + number + "-" + statement;
      String text = statement % 2 == 0 ? "READ " + item : "WRITE " + item + " data-" + statement;
      return "QUERY " + id(statement) + " " + text;
    }

    /** Sends all statements at once, or each after the answer to the one before without the flood. */
    private void serve() {
      try (Client client = new Client(machine, 20_000)) {
        client.open("shop", World.KEY);
        if (world.trouble) {
          List<String> lines = new ArrayList<>();
          for (int statement = 0; statement < STATEMENTS; statement++) {
            lines.add(line(statement));
          }
          client.sendAll(lines);
          sent = STATEMENTS;
          world.note("session " + number + ": sent " + id(0) + " to " + id(STATEMENTS - 1));
        }
        for (int statement = 0; statement < STATEMENTS; statement++) {
          if (!world.trouble) {
            Thread.sleep(PAUSE_MS);
            client.send(line(statement));
            sent++;
          }
          check(statement, client.answer());
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (IOException e) {
        world.note("session " + number + " ended after " + answered + " of " + sent + ": " + e);
      }
    }

    /** Returns the number of writes with a success that the primary's log does not hold. */
    private int lostWrites() {
      Set<String> committed = world.database.committed();
      return (int) acknowledgedWrites.stream().filter(write -> !committed.contains(write)).count();
    }

    /** Returns the number of writes with a promise that nothing is kept and a commit in the log. */
    private int keptWrites() {
      Set<String> committed = world.database.committed();
      return (int) refusedWrites.stream().filter(committed::contains).count();
    }

    private void check(int statement, Client.Answer answer) {
      answered++;
      world.note(
          "session " + number + ": the answer to " + line(statement) + " is " + answer.lines());
      if (!answer.isSuccess()) {
        if (statement % 2 == 1 && answer.result().startsWith("ERROR BUSY")) {
          refusedWrites.add(id(statement));
        }
        return;
      }
      successes++;
      if (statement % 2 == 1) {
        acknowledgedWrites.add(id(statement));
      }
      String owner = answer.result().split(" ")[1].split("\\.")[1];
      if (!owner.equals(id(statement))) {
        foreign++;
        world.note("session " + number + ": the answer before is that of " + owner);
      }
    }
  }
}
