package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Stand-in of one service: a primary and its replicas, with terms, positions and replication. */
final class Group {
  /** One way between zones. */
  static final double NETWORK_IN_MILLISECONDS = 1.4;

  private static final long PROMOTION_IN_MILLISECONDS = 300;
  private static final long HEARTBEAT_IN_MILLISECONDS = 1_200;

  /** Sees each run of a statement of a client; called with the group's lock held. */
  interface RunListener {
    void onRun(Endpoint endpoint, String requestId, String text, boolean firstOfTransaction);
  }

  final String service;
  final Store store;
  final Recorder recorder;
  final int syncReplicas;
  final List<Endpoint> endpoints = new ArrayList<>();
  final Map<String, Commit> commitsByRequest = new ConcurrentHashMap<>();

  /** When each statement reached a backend first, by its id. */
  final Map<String, Double> arrivals = new ConcurrentHashMap<>();

  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  RunListener runListener = (endpoint, id, text, first) -> {};
  long term = 3;
  long nextNumber = 1_000;
  Endpoint primary;

  Group(String service, Store store, Recorder recorder, int syncReplicas) {
    this.service = service;
    this.store = store;
    this.recorder = recorder;
    this.syncReplicas = syncReplicas;
  }

  Endpoint add(String id, String zone, int slots, int maximumConnections) throws Exception {
    Endpoint endpoint = new Endpoint(this, id, zone, slots, maximumConnections);
    synchronized (this) {
      endpoints.add(endpoint);
      if (primary == null) {
        primary = endpoint;
      }
    }
    endpoint.start();
    heartbeat(endpoint);
    timer.scheduleAtFixedRate(
        () -> heartbeat(endpoint),
        HEARTBEAT_IN_MILLISECONDS,
        HEARTBEAT_IN_MILLISECONDS,
        TimeUnit.MILLISECONDS);
    return endpoint;
  }

  /** Writes the entry of a backend; it counts as changed when more than its sequence changes. */
  synchronized void heartbeat(Endpoint endpoint) {
    if (!endpoint.running) {
      return;
    }
    endpoint.sequence++;
    Map<String, Object> entry = endpoint.entry();
    Map<String, Object> compared = new HashMap<>(entry);
    compared.remove("sequence");
    if (!compared.equals(endpoint.lastEntry)) {
      endpoint.lastEntry = compared;
      store.write("servers", endpoint.id, entry);
    }
  }

  /** Reports that a backend is draining; returns when the store accepted it. */
  double drain(Endpoint endpoint) {
    endpoint.draining = true;
    heartbeat(endpoint);
    recorder.say("%s (%s) reports draining", endpoint.id, endpoint == primary ? "primary" : "replica");
    return Recorder.now();
  }

  synchronized Optional<Endpoint> endpoint(String id) {
    return endpoints.stream().filter(endpoint -> endpoint.id.equals(id)).findFirst();
  }

  /** Commits at the primary and sends the commit to the replicas. */
  Commit commit(Endpoint at, String requestId) {
    Commit commit;
    synchronized (this) {
      commit = new Commit(term, ++nextNumber, requestId, at.id);
      at.received.add(commit);
      at.applied = at.received.size();
      commitsByRequest.put(requestId, commit);
      for (Endpoint replica : endpoints) {
        if (replica != at && replica.running && !replica.deaf) {
          send(replica, commit, term);
        }
      }
    }
    return commit;
  }

  private void send(Endpoint replica, Commit commit, long sentInTerm) {
    timer.schedule(
        () -> receive(replica, commit, sentInTerm),
        (long) (NETWORK_IN_MILLISECONDS * 1_000),
        TimeUnit.MICROSECONDS);
  }

  private synchronized void receive(Endpoint replica, Commit commit, long sentInTerm) {
    if (sentInTerm != term || replica == primary || !replica.running || replica.deaf) {
      return;
    }
    catchUp(replica);
    notifyAll();
  }

  /** Gives a replica what the primary has and it lacks, in the primary's order. */
  private void catchUp(Endpoint replica) {
    for (int index = replica.received.size(); index < primary.received.size(); index++) {
      replica.received.add(primary.received.get(index));
      double due = Recorder.now() + replica.lagInMilliseconds;
      replica.lastApplyAt = Math.max(replica.lastApplyAt, due);
      int count = index + 1;
      long sentInTerm = term;
      timer.schedule(
          () -> apply(replica, count, sentInTerm),
          (long) ((replica.lastApplyAt - Recorder.now()) * 1_000),
          TimeUnit.MICROSECONDS);
    }
  }

  private synchronized void apply(Endpoint replica, int count, long sentInTerm) {
    if (replica != primary && replica.running) {
      replica.applied = Math.max(replica.applied, Math.min(count, replica.received.size()));
    }
  }

  /** Lets a replica receive again what it has missed. */
  synchronized void hear(Endpoint replica) {
    replica.deaf = false;
    if (replica != primary && primary.running) {
      catchUp(replica);
    }
  }

  /** Waits until as many replicas have a commit as the service asks for. */
  synchronized boolean awaitReplicas(Endpoint at, Commit commit) throws InterruptedException {
    while (at == primary && at.running) {
      int holders = 0;
      for (Endpoint replica : endpoints) {
        if (replica != at && replica.received.contains(commit)) {
          holders++;
        }
      }
      if (holders >= syncReplicas) {
        return true;
      }
      wait(100);
    }
    return false;
  }

  /** Orders a promotion; it takes effect some hundred milliseconds later. */
  boolean order(String id) {
    Optional<Endpoint> chosen = endpoint(id).filter(endpoint -> endpoint.running);
    if (chosen.isEmpty()) {
      return false;
    }
    if (chosen.get() != primary) {
      timer.schedule(
          () -> promote(chosen.get()), PROMOTION_IN_MILLISECONDS, TimeUnit.MILLISECONDS);
    }
    return true;
  }

  private void promote(Endpoint endpoint) {
    Endpoint former;
    synchronized (this) {
      if (endpoint == primary || !endpoint.running) {
        return;
      }
      former = primary;
      term++;
      primary = endpoint;
      endpoint.applied = endpoint.received.size();
      int kept = endpoint.received.size();
      for (Endpoint other : endpoints) {
        while (other != endpoint && other.received.size() > kept) {
          Commit lost = other.received.remove(other.received.size() - 1);
          if (!lost.rolledBack && !endpoint.received.contains(lost)) {
            lost.rolledBack = true;
            boolean acknowledged = lost.acknowledgedAt < Double.POSITIVE_INFINITY;
            recorder.log(
                "commit %s of %s rolled back, %s",
                lost.position(), lost.requestId, acknowledged ? "acknowledged" : "not acknowledged");
            if (acknowledged && syncReplicas > 0) {
              recorder.violation(
                  "LOST: %s was acknowledged and is not in the log of %s, which is promoted",
                  lost.position(), endpoint.id);
            }
          }
        }
        other.applied = Math.min(other.applied, other.received.size());
      }
      recorder.say("%s leads term %d", endpoint.id, term);
    }
    heartbeat(endpoint);
    if (former.running) {
      heartbeat(former);
    }
  }
}
