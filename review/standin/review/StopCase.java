package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A VM is stopped while sessions at it are in transactions. Each request that it passed on to a
 * backend must get an answer, unless it was sent within 3 s after the SIGTERM and its backend is
 * still at work in the last sixth of the grace period.
 */
final class StopCase {
  private static final int SESSIONS = 20;
  private static final int STATEMENTS = 12;
  private static final int PAUSE_IN_MILLISECONDS = 250;
  private static final double WORK_IN_MILLISECONDS = 150;
  private static final double GRACE_IN_MILLISECONDS = 6_000;
  private static final double EXCUSED_IN_MILLISECONDS = 3_000;
  private static final double TIMEOUT_IN_MILLISECONDS = 2_000;

  private StopCase() {}

  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 0);
    Recorder recorder = deployment.recorder;
    deployment.endpoints.forEach(endpoint -> endpoint.workInMilliseconds = WORK_IN_MILLISECONDS);
    deployment.start();
    // The group's gateway is on the first VM; the sessions are at the second one.
    Fleet.Vm vm = deployment.fleet.vms.get(1);
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger cut = new AtomicInteger();
    AtomicInteger excused = new AtomicInteger();
    double stoppedAt = Recorder.now() + 1_000;
    for (int session = 0; session < SESSIONS; session++) {
      double beginAt = stoppedAt + 500 + session * 1_700.0 / SESSIONS;
      Client client = new Client(vm.name + "/" + session, vm, 12_000, recorder);
      client.open(Deployment.BOUNDED_DATABASE, Deployment.KEY);
      Endpoint.daemon(
          () -> transaction(deployment, client, beginAt, stoppedAt, answered, cut, excused));
    }
    Deployment.sleepUntil(stoppedAt);
    if (deployment.trouble) {
      recorder.say("SIGTERM to %s", vm.name);
      vm.terminate();
    }
    Deployment.sleepUntil(stoppedAt + GRACE_IN_MILLISECONDS + 3_000);
    recorder.say(
        "statements answered %d; connections that ended without an answer %d, of which excused %d",
        answered.get(), cut.get() + excused.get(), excused.get());
    deployment.finish(answered.get() > SESSIONS);
  }

  private static void transaction(
      Deployment deployment,
      Client client,
      double beginAt,
      double stoppedAt,
      AtomicInteger answered,
      AtomicInteger cut,
      AtomicInteger excused) {
    try (client) {
      Deployment.sleepUntil(beginAt);
      client.query("BEGIN READ");
      for (int statement = 0; statement < STATEMENTS; statement++) {
        if (!client.query("READ item" + statement).isSuccess()) {
          client.query("ROLLBACK");
          return;
        }
        answered.incrementAndGet();
        Thread.sleep(PAUSE_IN_MILLISECONDS);
      }
      client.query("COMMIT");
    } catch (IOException e) {
      onCut(deployment, client, stoppedAt, cut, excused);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void onCut(
      Deployment deployment,
      Client client,
      double stoppedAt,
      AtomicInteger cut,
      AtomicInteger excused) {
    double now = Recorder.now();
    Double arrivedAt = deployment.group.arrivals.get(client.lastId);
    boolean timedOut = now - client.lastSentAt >= TIMEOUT_IN_MILLISECONDS;
    if (arrivedAt == null || timedOut) {
      return;
    }
    if (client.lastSentAt <= stoppedAt + EXCUSED_IN_MILLISECONDS) {
      excused.incrementAndGet();
      return;
    }
    cut.incrementAndGet();
    deployment.recorder.violation(
        "LOST: %s, sent %.0f ms after the SIGTERM, reached a backend %.0f ms after it; the"
            + " connection ended without an answer %.0f ms after the SIGTERM",
        client.lastId, client.lastSentAt - stoppedAt, arrivedAt - stoppedAt, now - stoppedAt);
  }
}
