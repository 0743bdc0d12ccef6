package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A service whose commits one replica must have received. One replica is draining, as planned; the
 * other receives nothing for a while, and the primary crashes meanwhile. No acknowledged commit may
 * be missing in the log of the backend that is promoted.
 */
final class SyncCase {
  private static final int WRITERS = 3;
  private static final double DEAF_FOR_MILLISECONDS = 6_500;

  private SyncCase() {}

  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 1);
    Recorder recorder = deployment.recorder;
    Group group = deployment.group;
    AtomicInteger acknowledged = new AtomicInteger();
    deployment.start();
    double start = Recorder.now();
    double end = start + 8_000 + DEAF_FOR_MILLISECONDS;
    for (int session = 0; session < WRITERS; session++) {
      Fleet.Vm vm = deployment.fleet.vms.get(session % deployment.fleet.vms.size());
      String name = vm.name + "/writer" + session;
      Endpoint.daemon(() -> write(deployment, vm, name, end, acknowledged));
    }
    Endpoint primary = group.primary;
    Endpoint deaf = deployment.endpoints.get(1);
    Endpoint leaving = deployment.endpoints.get(2);
    Deployment.sleepUntil(start + 5_000);
    group.drain(leaving);
    Deployment.sleepUntil(start + 6_000);
    if (deployment.trouble) {
      recorder.say("%s receives nothing", deaf.id);
      deaf.deaf = true;
      Deployment.sleepUntil(start + 8_000);
      recorder.say("%s, the primary, crashes", primary.id);
      primary.crash();
      Deployment.sleepUntil(start + 6_000 + DEAF_FOR_MILLISECONDS);
      group.hear(deaf);
      recorder.say("%s receives again", deaf.id);
    }
    Deployment.sleepUntil(end);
    recorder.say("commits acknowledged %d", acknowledged.get());
    deployment.finish(acknowledged.get() > 50);
  }

  private static void write(
      Deployment deployment, Fleet.Vm vm, String name, double end, AtomicInteger acknowledged) {
    while (Recorder.now() < end) {
      try (Client client = new Client(name, vm, 10_000, deployment.recorder)) {
        client.open(Deployment.PRIMARY_DATABASE, Deployment.KEY);
        while (Recorder.now() < end) {
          String id = Client.newId();
          if (client.query(id, "WRITE item" + id + " data").isSuccess()) {
            deployment.group.commitsByRequest.get(id).acknowledgedAt = Recorder.now();
            acknowledged.incrementAndGet();
          }
          Thread.sleep(100);
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
