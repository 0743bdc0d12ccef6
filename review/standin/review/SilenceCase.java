package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections to the backends go silent for good, some times in a row, while new ones
 * work. From recovery_s after the last time on, at least a quarter of the requests must be served.
 */
final class SilenceCase {
  private static final int SESSIONS_PER_VM = 6;
  private static final int TRANSACTIONS_PER_VM = 6;
  private static final int REST_IN_MILLISECONDS = 1_500;
  private static final int PAUSE_IN_MILLISECONDS = 100;
  private static final int TIMES = 4;
  private static final double FIRST_IN_MILLISECONDS = 15_000;
  private static final double GAP_IN_MILLISECONDS = 6_000;
  private static final double RECOVERY_IN_MILLISECONDS = 12_000;
  private static final double MEASURED_IN_MILLISECONDS = 12_000;

  private SilenceCase() {}

  /** Requests of one span of time. */
  private static final class Span {
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    private double share() {
      return served.get() / (double) Math.max(1, sent.get());
    }

    @Override
    public String toString() {
      return served.get() + " of " + sent.get();
    }
  }

  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 0);
    Recorder recorder = deployment.recorder;
    List<SilencingProxy> proxies = new ArrayList<>();
    for (Endpoint endpoint : deployment.endpoints) {
      proxies.add(endpoint.addProxy());
    }
    deployment.start();
    double start = Recorder.now();
    double lastFaultAt = start + FIRST_IN_MILLISECONDS + (TIMES - 1) * GAP_IN_MILLISECONDS;
    double recoveredAt = lastFaultAt + RECOVERY_IN_MILLISECONDS;
    double end = recoveredAt + MEASURED_IN_MILLISECONDS;
    Span before = new Span();
    Span after = new Span();
    for (Fleet.Vm vm : deployment.fleet.vms) {
      for (int session = 0; session < SESSIONS_PER_VM; session++) {
        String name = vm.name + "/" + session;
        boolean writes = session % 2 == 0;
        Endpoint.daemon(
            () -> load(deployment, vm, name, writes, lastFaultAt, recoveredAt, end, before, after));
      }
      for (int session = 0; session < TRANSACTIONS_PER_VM; session++) {
        String name = vm.name + "/transaction" + session;
        boolean readOnly = session % 2 == 0;
        Endpoint.daemon(() -> rest(deployment, vm, name, readOnly, end));
      }
    }
    for (int time = 0; time < TIMES; time++) {
      Deployment.sleepUntil(start + FIRST_IN_MILLISECONDS + time * GAP_IN_MILLISECONDS);
      if (deployment.trouble) {
        int count = 0;
        for (SilencingProxy proxy : proxies) {
          count += proxy.silence();
        }
        recorder.say("%d connections to backends go silent; served so far %s", count, before);
      }
    }
    Deployment.sleepUntil(end + 2_000);
    recorder.say(
        "served before the last fault %s, later than recovery_s after it %s", before, after);
    if (before.share() >= 0.25 && after.share() < 0.25) {
      recorder.violation(
          "RECOVER: %s requests served later than recovery_s after the last fault, %s before it",
          after, before);
    }
    deployment.finish(before.sent.get() > 500 && after.sent.get() > 20);
  }

  /** Reads once in each transaction, rests, and rolls back. */
  private static void rest(
      Deployment deployment, Fleet.Vm vm, String name, boolean readOnly, double end) {
    while (Recorder.now() < end) {
      try (Client client = new Client(name, vm, 10_000, deployment.recorder)) {
        client.open(
            readOnly ? Deployment.BOUNDED_DATABASE : Deployment.PRIMARY_DATABASE, Deployment.KEY);
        while (Recorder.now() < end) {
          client.query(readOnly ? "BEGIN READ" : "BEGIN");
          client.query("READ item");
          Thread.sleep(REST_IN_MILLISECONDS);
          client.query("ROLLBACK");
          Thread.sleep(PAUSE_IN_MILLISECONDS);
        }
      } catch (IOException e) {
        deployment.recorder.log("%s: %s", name, e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static void load(
      Deployment deployment,
      Fleet.Vm vm,
      String name,
      boolean writes,
      double lastFaultAt,
      double recoveredAt,
      double end,
      Span before,
      Span after) {
    int number = 0;
    while (Recorder.now() < end) {
      try (Client client = new Client(name, vm, 10_000, deployment.recorder)) {
        client.open(
            writes ? Deployment.PRIMARY_DATABASE : Deployment.BOUNDED_DATABASE, Deployment.KEY);
        while (Recorder.now() < end) {
          double sentAt = Recorder.now();
          Span unused = new Span();
          Span span = sentAt < lastFaultAt ? before : sentAt > recoveredAt ? after : unused;
          span.sent.incrementAndGet();
          number++;
          if (client.query(writes ? "WRITE item" + number + " data" : "READ item" + number)
              .isSuccess()) {
            span.served.incrementAndGet();
          }
          Thread.sleep(PAUSE_IN_MILLISECONDS);
        }
      } catch (IOException e) {
        deployment.recorder.log("%s: %s", name, e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
