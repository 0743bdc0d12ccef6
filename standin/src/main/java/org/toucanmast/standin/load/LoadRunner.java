package org.toucanmast.standin.load;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.toucanmast.schema.LoadCustomerSection;
import org.toucanmast.standin.load.HistoryEntry.Action;
import org.toucanmast.standin.load.LoadClient.Answer;

/**
 * Sends an open-loop load: requests come at planned times, whatever became of earlier ones.
 *
 * <p>Example: {@code new LoadRunner(vertx, scenario, vms).run()}.
 */
public final class LoadRunner {
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;
  private static final double MICROSECONDS_PER_SECOND = 1e6;
  private static final int PERCENT = 100;
  private static final int FINAL_READ_ATTEMPTS = 100;

  /** The arrivals of one customer. */
  private static final class Arrivals {
    private final String name;
    private final LoadCustomerSection section;
    private final RandomGenerator random;
    private final List<LoadSession> sessions = new ArrayList<>();
    private double nextAt;
    private int turn;

    private Arrivals(String name, LoadCustomerSection section, RandomGenerator random) {
      this.name = name;
      this.section = section;
      this.random = random;
      for (int number = 0; number < section.getSessions(); number++) {
        sessions.add(new LoadSession(name, section, number));
      }
      plan();
    }

    private void plan() {
      nextAt += random.nextExponential() / section.getArrivals() * MICROSECONDS_PER_SECOND;
    }

    /** Returns an idle session; a new one when all are busy, since callers do not wait. */
    private LoadSession idleSession() {
      int start = random.nextInt(sessions.size());
      for (int offset = 0; offset < sessions.size(); offset++) {
        LoadSession candidate = sessions.get((start + offset) % sessions.size());
        if (!candidate.isBusy()) {
          return candidate;
        }
      }
      LoadSession added = new LoadSession(name, section, sessions.size());
      sessions.add(added);
      return added;
    }
  }

  private final Vertx vertx;
  private final LoadClient client;
  private final LoadScenario scenario;
  private final Supplier<List<String>> balancer;
  private final List<HistoryEntry> history = new ArrayList<>();
  private final List<Arrivals> arrivals = new ArrayList<>();
  private final Map<String, LoadCustomerSection> keys = new LinkedHashMap<>();
  private final Map<String, String> customerOfKey = new LinkedHashMap<>();
  private final Promise<Void> drained = Promise.promise();
  private long startedAt;
  private int running;
  private boolean ended;

  /**
   * Creates a runner.
   *
   * @param vms addresses of the VMs' listeners for callers
   */
  public LoadRunner(Vertx vertx, LoadScenario scenario, List<String> vms) {
    this(vertx, scenario, () -> vms);
  }

  /**
   * Creates a runner whose VMs change while it runs.
   *
   * @param balancer returns the addresses of the VMs that are ready; never none
   */
  public LoadRunner(Vertx vertx, LoadScenario scenario, Supplier<List<String>> balancer) {
    this.vertx = vertx;
    this.client = new LoadClient(vertx);
    this.scenario = scenario;
    this.balancer = balancer;
    RandomGeneratorFactory<RandomGenerator> factory = RandomGeneratorFactory.of("L64X128MixRandom");
    long seed = scenario.load().getSeed();
    for (Map.Entry<String, LoadCustomerSection> each : scenario.customers().entrySet()) {
      arrivals.add(
          new Arrivals(
              each.getKey(), each.getValue(), factory.create(seed + each.getKey().hashCode())));
    }
  }

  /** Runs the load, then reads every key once more; returns the whole history. */
  public Future<List<HistoryEntry>> run() {
    Promise<List<HistoryEntry>> result = Promise.promise();
    vertx.runOnContext(
        nothing -> {
          startedAt = System.nanoTime();
          vertx.setPeriodic(1, this::sendDue);
        });
    drained
        .future()
        .compose(nothing -> finalReads(new ArrayList<>(keys.keySet()), 0))
        .onComplete(done -> client.close())
        .onComplete(done -> result.complete(history), result::fail);
    return result.future();
  }

  private long now() {
    return (System.nanoTime() - startedAt) / NANOSECONDS_PER_MICROSECOND;
  }

  private void sendDue(long timer) {
    long now = now();
    long end = scenario.load().getDuration() / NANOSECONDS_PER_MICROSECOND;
    for (Arrivals each : arrivals) {
      while (each.nextAt <= now && each.nextAt < end) {
        send(each, (long) each.nextAt);
        each.plan();
      }
    }
    if (now >= end) {
      vertx.cancelTimer(timer);
      ended = true;
      completeIfDrained();
    }
  }

  private void completeIfDrained() {
    if (ended && running == 0) {
      drained.tryComplete();
    }
  }

  private void send(Arrivals customer, long plannedAt) {
    LoadSession session = customer.idleSession();
    session.setBusy(true);
    running++;
    keys.put(session.key(), customer.section);
    customerOfKey.put(session.key(), customer.name);
    Action action = actionOf(customer);
    String vm = vmOf(customer);
    Request request =
        new Request(
            session,
            action,
            session.key(),
            session.nextRequestId(),
            plannedAt,
            now(),
            !session.token().isEmpty(),
            vm);
    (action == Action.TRANSACTION ? runTransaction(request) : runSingle(request))
        .onSuccess(answer -> onAnswer(request, answer));
  }

  private record Request(
      LoadSession session,
      Action action,
      String key,
      String id,
      long plannedAt,
      long sentAt,
      boolean tokened,
      String vm) {}

  private static Action actionOf(Arrivals customer) {
    LoadCustomerSection section = customer.section;
    int dice = customer.random.nextInt(PERCENT);
    if (dice < section.getWritePercent()) {
      return Action.APPEND;
    }
    if (dice < section.getWritePercent() + section.getTransactionPercent()) {
      return Action.TRANSACTION;
    }
    return customer.random.nextInt(PERCENT) < section.getAgedPercent()
        ? Action.AGED_READ
        : Action.READ;
  }

  private String vmOf(Arrivals customer) {
    List<String> vms = balancer.get();
    if (customer.section.getSpread().equals("first")) {
      return vms.get(0);
    }
    customer.turn++;
    return vms.get(customer.turn % vms.size());
  }

  private Future<Answer> runSingle(Request request) {
    LoadCustomerSection section = request.session().section();
    JsonObject body = new JsonObject();
    switch (request.action()) {
      case APPEND ->
          body.put("kind", "write")
              .put(
                  "statements",
                  new JsonArray().add("append " + request.key() + " " + request.id()));
      case AGED_READ ->
          body.put("kind", "read")
              .put("maximumAge", section.getMaximumAge() + "ns")
              .put("statements", new JsonArray().add("get " + request.key()));
      default ->
          body.put("kind", "read").put("statements", new JsonArray().add("get " + request.key()));
    }
    String path = "/v1/databases/" + section.getDatabase() + "/requests";
    return call(request, path, request.id(), body);
  }

  private Future<Answer> runTransaction(Request request) {
    String database = request.session().section().getDatabase();
    JsonObject append =
        new JsonObject()
            .put("statements", new JsonArray().add("append " + request.key() + " " + request.id()));
    return call(request, "/v1/databases/" + database + "/transactions", "", new JsonObject())
        .compose(
            begun -> {
              if (!begun.outcome().equals("ran")) {
                return Future.succeededFuture(withOutcome(begun, "not-run"));
              }
              String base = "/v1/transactions/" + begun.body().getString("transaction");
              return rest(request)
                  .compose(rested -> call(request, base + "/statements", "", append))
                  .compose(
                      changed ->
                          changed.outcome().equals("ran")
                              ? commit(request, base)
                              : call(request, base + "/rollback", "", new JsonObject())
                                  .map(done -> withOutcome(changed, "not-run")));
            });
  }

  private Future<Answer> commit(Request request, String base) {
    return rest(request)
        .compose(rested -> call(request, base + "/commit", request.id(), new JsonObject()));
  }

  private Future<Void> rest(Request request) {
    long pause = TimeUnit.NANOSECONDS.toMillis(request.session().section().getPause());
    return pause == 0
        ? Future.succeededFuture()
        : vertx.timer(pause, TimeUnit.MILLISECONDS).mapEmpty();
  }

  private Future<Answer> call(Request request, String path, String id, JsonObject body) {
    LoadSession session = request.session();
    return client.send(request.vm(), path, session.section().getKey(), session.token(), id, body);
  }

  private static Answer withOutcome(Answer answer, String outcome) {
    return new Answer(outcome, answer.code(), answer.token(), answer.body(), answer.status());
  }

  private void onAnswer(Request request, Answer answer) {
    LoadSession session = request.session();
    record(request, answer);
    session.setToken(answer.token());
    if (request.action() == Action.APPEND || request.action() == Action.TRANSACTION) {
      session.onWrite();
    }
    if (answer.code().equals("lost-write")) {
      session.reset();
    }
    session.setBusy(false);
    running--;
    completeIfDrained();
  }

  private void record(Request request, Answer answer) {
    history.add(
        new HistoryEntry(
            request.session().customer(),
            request.session().name(),
            request.session().section().getDatabase(),
            request.action(),
            request.id(),
            request.key(),
            request.plannedAt(),
            request.sentAt(),
            now(),
            answer.outcome(),
            answer.code(),
            answer.body().getBoolean("replica", false),
            request.tokened(),
            answer.row(),
            request.vm()));
  }

  /** Reads keys that were written, one after the other, at the primary. */
  private Future<Void> finalReads(List<String> remaining, int attempts) {
    Set<String> written = new HashSet<>();
    history.stream().filter(HistoryEntry::writes).forEach(entry -> written.add(entry.key()));
    remaining.removeIf(key -> !written.contains(key));
    return finalReadsOf(remaining, attempts);
  }

  private Future<Void> finalReadsOf(List<String> remaining, int attempts) {
    if (remaining.isEmpty()) {
      return Future.succeededFuture();
    }
    String key = remaining.get(remaining.size() - 1);
    LoadCustomerSection section = keys.get(key);
    LoadSession session = new LoadSession(customerOfKey.get(key), section, 0);
    List<String> vms = balancer.get();
    String vm = vms.get(attempts % vms.size());
    Request request =
        new Request(session, Action.FINAL_READ, key, "final-" + key, now(), now(), false, vm);
    return runSingle(request)
        .compose(
            answer -> {
              if (answer.outcome().equals("ran")) {
                record(request, answer);
                remaining.remove(remaining.size() - 1);
                return finalReadsOf(remaining, 0);
              }
              boolean hopeless = answer.code().equals("unauthenticated");
              if (hopeless || attempts > FINAL_READ_ATTEMPTS) {
                remaining.remove(remaining.size() - 1);
                return finalReadsOf(remaining, 0);
              }
              return vertx
                  .timer(50, TimeUnit.MILLISECONDS)
                  .compose(nothing -> finalReadsOf(remaining, attempts + 1));
            });
  }
}
