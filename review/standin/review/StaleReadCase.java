package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A primary is replaced as planned while transactions that only read are open on it; the replicas
 * lag after that. The transactions are committed one after the other. A read on a bounded route
 * must not run on a log that lacks a commit which was acknowledged longer ago than the staleness.
 */
final class StaleReadCase {
  private static final int STALENESS_IN_MILLISECONDS = 1_500;
  private static final int TRANSACTIONS = 10;
  private static final int READERS = 9;
  private static final int WRITERS = 2;

  /** Replicas are 60 ms behind and apply 60 times as late for 6 s. */
  private static final double LAG_IN_MILLISECONDS = 60;

  private static final double LAG_FACTOR = 60;
  private static final double LAG_FOR_MILLISECONDS = 6_000;

  private StaleReadCase() {}

  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 0);
    Recorder recorder = deployment.recorder;
    Group group = deployment.group;
    Map<String, Double> readSentAt = new ConcurrentHashMap<>();
    AtomicInteger reads = new AtomicInteger();
    AtomicInteger commits = new AtomicInteger();
    AtomicInteger stale = new AtomicInteger();
    group.runListener =
        (endpoint, id, text, first) -> {
          Double sentAt = readSentAt.get(id);
          if (sentAt != null) {
            check(group, endpoint, id, sentAt, stale);
          }
        };
    deployment.start();
    double start = Recorder.now();
    double end = start + 22_000;
    for (int session = 0; session < READERS; session++) {
      Fleet.Vm vm = deployment.fleet.vms.get(session % deployment.fleet.vms.size());
      String name = vm.name + "/reader" + session;
      Endpoint.daemon(() -> read(deployment, vm, name, end, readSentAt, reads));
    }
    for (int session = 0; session < WRITERS; session++) {
      Fleet.Vm vm = deployment.fleet.vms.get(session % deployment.fleet.vms.size());
      String name = vm.name + "/writer" + session;
      Endpoint.daemon(() -> write(deployment, vm, name, end));
    }
    Deployment.sleepUntil(start + 4_000);
    List<Client> transactions = new ArrayList<>();
    for (int index = 0; index < TRANSACTIONS; index++) {
      Fleet.Vm vm = deployment.fleet.vms.get(index % deployment.fleet.vms.size());
      Client client = new Client(vm.name + "/transaction" + index, vm, 5_000, recorder);
      client.open(Deployment.PRIMARY_DATABASE, Deployment.KEY);
      client.query("BEGIN");
      client.query("READ item" + index);
      transactions.add(client);
    }
    Endpoint former = group.primary;
    group.drain(former);
    while (group.primary == former && Recorder.now() < start + 7_000) {
      Thread.sleep(5);
    }
    boolean replaced = group.primary != former;
    if (deployment.trouble) {
      setLag(group, LAG_IN_MILLISECONDS * LAG_FACTOR);
      recorder.say("the replicas apply %.0f times as late", LAG_FACTOR);
    }
    double lagEnd = Recorder.now() + LAG_FOR_MILLISECONDS;
    Thread.sleep(150);
    for (Client client : transactions) {
      if (commit(client)) {
        commits.incrementAndGet();
      }
      Thread.sleep(200);
    }
    Deployment.sleepUntil(lagEnd);
    setLag(group, LAG_IN_MILLISECONDS);
    Deployment.sleepUntil(end);
    recorder.say(
        "reads %d, transactions committed after the change of primary %d, stale reads %d",
        reads.get(), commits.get(), stale.get());
    deployment.finish(replaced && reads.get() > 100 && commits.get() > 0);
  }

  private static void setLag(Group group, double milliseconds) {
    for (Endpoint endpoint : group.endpoints) {
      if (endpoint != group.primary) {
        endpoint.lagInMilliseconds = milliseconds;
      }
    }
  }

  private static void check(
      Group group, Endpoint endpoint, String id, double sentAt, AtomicInteger stale) {
    Set<Commit> applied = new HashSet<>(endpoint.received.subList(0, endpoint.applied));
    int lacking = 0;
    Commit oldest = null;
    for (Commit commit : group.commitsByRequest.values()) {
      if (!commit.rolledBack
          && commit.acknowledgedAt < sentAt - STALENESS_IN_MILLISECONDS
          && !applied.contains(commit)) {
        lacking++;
        if (oldest == null || commit.acknowledgedAt < oldest.acknowledgedAt) {
          oldest = commit;
        }
      }
    }
    if (lacking > 0) {
      stale.incrementAndGet();
      group.recorder.violation(
          "STALE: read %s runs at %s, which lacks %d commits; the oldest, %s, was acknowledged"
              + " %.0f ms before the read",
          id, endpoint.id, lacking, oldest.position(), sentAt - oldest.acknowledgedAt);
    }
  }

  private static boolean commit(Client client) {
    try (client) {
      return client.query("COMMIT").isSuccess();
    } catch (IOException e) {
      return false;
    }
  }

  private static void read(
      Deployment deployment,
      Fleet.Vm vm,
      String name,
      double end,
      Map<String, Double> readSentAt,
      AtomicInteger reads) {
    try (Client client = new Client(name, vm, 10_000, deployment.recorder)) {
      client.open(Deployment.BOUNDED_DATABASE, Deployment.KEY);
      while (Recorder.now() < end) {
        String id = Client.newId();
        readSentAt.put(id, Recorder.now());
        client.query(id, "READ item" + id);
        reads.incrementAndGet();
        Thread.sleep(40);
      }
    } catch (IOException e) {
      deployment.recorder.log("%s: %s", name, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void write(Deployment deployment, Fleet.Vm vm, String name, double end) {
    try (Client client = new Client(name, vm, 10_000, deployment.recorder)) {
      client.open(Deployment.PRIMARY_DATABASE, Deployment.KEY);
      while (Recorder.now() < end) {
        String id = Client.newId();
        if (client.query(id, "WRITE item" + id + " data").isSuccess()) {
          deployment.group.commitsByRequest.get(id).acknowledgedAt = Recorder.now();
        }
        Thread.sleep(250);
      }
    } catch (IOException e) {
      deployment.recorder.log("%s: %s", name, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
