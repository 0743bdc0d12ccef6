package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts one entry without a zone among the entries of the backends. Later the primary
 * reports that it is draining, and must get no request after drain_ms.
 */
final class ForeignEntryCase {
  private static final int SESSIONS_PER_VM = 4;
  private static final double LENGTH_IN_MILLISECONDS = 30_000;

  private ForeignEntryCase() {}

  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 0);
    Recorder recorder = deployment.recorder;
    deployment.start();
    double start = Recorder.now();
    double end = start + LENGTH_IN_MILLISECONDS;
    Endpoint leaving = deployment.endpoints.get(0);
    double[] acceptedAt = {Double.POSITIVE_INFINITY};
    AtomicInteger late = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    AtomicInteger readsServed = new AtomicInteger();
    AtomicInteger unanswered = new AtomicInteger();
    deployment.group.runListener =
        (endpoint, id, text, first) -> {
          double after = Recorder.now() - acceptedAt[0];
          if (endpoint == leaving && first && after > Deployment.DRAIN_IN_MILLISECONDS) {
            late.incrementAndGet();
            recorder.violation(
                "DRAIN: %s reaches %s %.0f ms after the store accepted that it is draining",
                id, endpoint.id, after);
          }
        };
    for (Fleet.Vm vm : deployment.fleet.vms) {
      for (int session = 0; session < SESSIONS_PER_VM; session++) {
        String name = vm.name + "/" + session;
        boolean writes = session % 2 == 0;
        Endpoint.daemon(() -> load(
                    deployment, vm, name, writes, end, writes ? served : readsServed, unanswered));
      }
    }
    Deployment.sleepUntil(start + 5_000);
    if (deployment.trouble) {
      // Has all fields but the zone; nothing listens at the address.
      deployment.store.write(
          "servers",
          "i-7f000099",
          Store.body(
              "service", Deployment.SERVICE,
              "address", "127.0.0.1:9",
              "version", "v1",
              "slots", 3,
              "state", "ready",
              "cold_left_ms", 0,
              "db_role", "replica",
              "born", System.currentTimeMillis(),
              "sequence", 1));
      recorder.say("an entry without a zone is written: servers/i-7f000099");
    }
    Deployment.sleepUntil(start + 10_000);
    int readsBefore = readsServed.get();
    acceptedAt[0] = deployment.group.drain(leaving);
    Deployment.sleepUntil(end);
    recorder.say(
        "writes answered %d; reads answered %d before the draining and %d after it, without an"
            + " answer within their deadline of 10 s %d; requests that reached the draining"
            + " backend later than drain_ms %d",
        served.get(), readsBefore, readsServed.get() - readsBefore, unanswered.get(), late.get());
    deployment.finish(served.get() > 100);
  }

  private static void load(
      Deployment deployment,
      Fleet.Vm vm,
      String name,
      boolean writes,
      double end,
      AtomicInteger served,
      AtomicInteger unanswered) {
    int number = 0;
    while (Recorder.now() < end) {
      try (Client client = new Client(name, vm, 10_000, deployment.recorder)) {
        client.open(
            writes ? Deployment.PRIMARY_DATABASE : Deployment.BOUNDED_DATABASE, Deployment.KEY);
        while (Recorder.now() < end) {
          String text = writes ? "WRITE item" + number++ + " data" : "READ item" + number++;
          client.query(text);
          served.incrementAndGet();
          Thread.sleep(150);
        }
      } catch (java.net.SocketTimeoutException e) {
        unanswered.incrementAndGet();
        deployment.recorder.log("%s gives up: no answer within 10 s", name);
      } catch (IOException e) {
        deployment.recorder.log("%s: %s", name, e.getMessage());
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(100);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
