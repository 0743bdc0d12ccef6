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
 * Open-loop load generator: sends requests at planned times, regardless of whether earlier ones
 * have been answered.
 *
 * <p>Example: {@code new LoadRunner(vertx, scenario, vms).run()}.
 */
public final class LoadRunner {
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;
  private static final double MICROSECONDS_PER_SECOND = 1e6;
  private static final int PERCENT = 100;
  private static final int MAXIMUM_FINAL_READ_ATTEMPTS = 100;

  /** Poisson arrivals of one customer's requests, and the sessions that send them. */
  private static final class CustomerArrivals {
    private final String name;
    private final LoadCustomerSection section;
    private final RandomGenerator random;
    private final List<LoadSession> sessions = new ArrayList<>();
    private double nextArrivalInMicroseconds;
    private int roundRobinIndex;

    private CustomerArrivals(String name, LoadCustomerSection section, RandomGenerator random) {
      this.name = name;
      this.section = section;
      this.random = random;
      for (int number = 0; number < section.getSessions(); number++) {
        sessions.add(new LoadSession(name, section, number));
      }
      planNextArrival();
    }

    private void planNextArrival() {
      nextArrivalInMicroseconds +=
          random.nextExponential() / section.getArrivals() * MICROSECONDS_PER_SECOND;
    }

    /** Returns an idle session, or a new one if all are busy: an open-loop load does not wait. */
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
  private final Supplier<List<String>> readyVms;
  private final List<HistoryEntry> history = new ArrayList<>();
  private final List<CustomerArrivals> customerArrivals = new ArrayList<>();
  private final Map<String, LoadCustomerSection> sectionsByKey = new LinkedHashMap<>();
  private final Map<String, String> customerNamesByKey = new LinkedHashMap<>();
  private final Promise<Void> loadCompleted = Promise.promise();
  private long startedAtInNanoseconds;
  private int requestsInFlight;
  private boolean arrivalsEnded;

  /**
   * Creates a runner.
   *
   * @param vms addresses of the VMs' listeners for callers
   */
  public LoadRunner(Vertx vertx, LoadScenario scenario, List<String> vms) {
    this(vertx, scenario, () -> vms);
  }

  /**
   * Creates a runner whose set of VMs changes during the run, as behind a load balancer.
   *
   * @param readyVms returns the addresses of the VMs that are ready; never an empty list
   */
  public LoadRunner(Vertx vertx, LoadScenario scenario, Supplier<List<String>> readyVms) {
    this.vertx = vertx;
    this.client = new LoadClient(vertx);
    this.scenario = scenario;
    this.readyVms = readyVms;
    RandomGeneratorFactory<RandomGenerator> factory = RandomGeneratorFactory.of("L64X128MixRandom");
    long seed = scenario.load().getSeed();
    for (Map.Entry<String, LoadCustomerSection> each : scenario.customers().entrySet()) {
      customerArrivals.add(
          new CustomerArrivals(
              each.getKey(), each.getValue(), factory.create(seed + each.getKey().hashCode())));
    }
  }

  /** Runs the load, then reads every written key once; returns the history of both. */
  public Future<List<HistoryEntry>> run() {
    Promise<List<HistoryEntry>> result = Promise.promise();
    vertx.runOnContext(
        ignored -> {
          startedAtInNanoseconds = System.nanoTime();
          vertx.setPeriodic(1, this::sendDue);
        });
    loadCompleted
        .future()
        .compose(ignored -> readWrittenKeys(new ArrayList<>(sectionsByKey.keySet()), 0))
        .onComplete(done -> client.close())
        .onComplete(done -> result.complete(history), result::fail);
    return result.future();
  }

  private long elapsedMicroseconds() {
    return (System.nanoTime() - startedAtInNanoseconds) / NANOSECONDS_PER_MICROSECOND;
  }

  private void sendDue(long timer) {
    long now = elapsedMicroseconds();
    long end = scenario.load().getDuration() / NANOSECONDS_PER_MICROSECOND;
    for (CustomerArrivals each : customerArrivals) {
      while (each.nextArrivalInMicroseconds <= now && each.nextArrivalInMicroseconds < end) {
        send(each, (long) each.nextArrivalInMicroseconds);
        each.planNextArrival();
      }
    }
    if (now >= end) {
      vertx.cancelTimer(timer);
      arrivalsEnded = true;
      completeIfAllAnswered();
    }
  }

  private void completeIfAllAnswered() {
    if (arrivalsEnded && requestsInFlight == 0) {
      loadCompleted.tryComplete();
    }
  }

  private void send(CustomerArrivals customer, long plannedAt) {
    LoadSession session = customer.idleSession();
    session.setBusy(true);
    requestsInFlight++;
    sectionsByKey.put(session.key(), customer.section);
    customerNamesByKey.put(session.key(), customer.name);
    Action action = chooseAction(customer);
    String vm = chooseVm(customer);
    Request request =
        new Request(
            session,
            action,
            session.key(),
            session.nextRequestId(),
            plannedAt,
            elapsedMicroseconds(),
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
      boolean hasToken,
      String vm) {}

  private static Action chooseAction(CustomerArrivals customer) {
    LoadCustomerSection section = customer.section;
    int draw = customer.random.nextInt(PERCENT);
    if (draw < section.getWritePercent()) {
      return Action.APPEND;
    }
    if (draw < section.getWritePercent() + section.getTransactionPercent()) {
      return Action.TRANSACTION;
    }
    return customer.random.nextInt(PERCENT) < section.getAgedPercent()
        ? Action.AGED_READ
        : Action.READ;
  }

  private String chooseVm(CustomerArrivals customer) {
    List<String> vms = readyVms.get();
    if (customer.section.getSpread().equals("first")) {
      return vms.get(0);
    }
    customer.roundRobinIndex++;
    return vms.get(customer.roundRobinIndex % vms.size());
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
              return pauseBetweenSteps(request)
                  .compose(paused -> call(request, base + "/statements", "", append))
                  .compose(
                      appended ->
                          appended.outcome().equals("ran")
                              ? commit(request, base)
                              : call(request, base + "/rollback", "", new JsonObject())
                                  .map(done -> withOutcome(appended, "not-run")));
            });
  }

  private Future<Answer> commit(Request request, String base) {
    return pauseBetweenSteps(request)
        .compose(paused -> call(request, base + "/commit", request.id(), new JsonObject()));
  }

  /** Waits for the customer's pause between two steps of a transaction. */
  private Future<Void> pauseBetweenSteps(Request request) {
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
    requestsInFlight--;
    completeIfAllAnswered();
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
            elapsedMicroseconds(),
            answer.outcome(),
            answer.code(),
            answer.body().getBoolean("replica", false),
            request.hasToken(),
            answer.row(),
            request.vm()));
  }

  /** Reads the keys that were written, one after the other, at the primary. */
  private Future<Void> readWrittenKeys(List<String> remaining, int attempts) {
    Set<String> written = new HashSet<>();
    history.stream().filter(HistoryEntry::writes).forEach(entry -> written.add(entry.key()));
    remaining.removeIf(key -> !written.contains(key));
    return readRemainingKeys(remaining, attempts);
  }

  /**
   * Reads the last of the remaining keys, then the others. A read that did not run is attempted
   * again at another VM after 50 ms; a key is left out when its customer is not authenticated or
   * the attempts are used up.
   */
  private Future<Void> readRemainingKeys(List<String> remaining, int attempts) {
    if (remaining.isEmpty()) {
      return Future.succeededFuture();
    }
    String key = remaining.get(remaining.size() - 1);
    LoadCustomerSection section = sectionsByKey.get(key);
    LoadSession session = new LoadSession(customerNamesByKey.get(key), section, 0);
    List<String> vms = readyVms.get();
    String vm = vms.get(attempts % vms.size());
    Request request =
        new Request(
            session,
            Action.FINAL_READ,
            key,
            "final-" + key,
            elapsedMicroseconds(),
            elapsedMicroseconds(),
            false,
            vm);
    return runSingle(request)
        .compose(
            answer -> {
              if (answer.outcome().equals("ran")) {
                record(request, answer);
                remaining.remove(remaining.size() - 1);
                return readRemainingKeys(remaining, 0);
              }
              boolean isPermanentFailure = answer.code().equals("unauthenticated");
              if (isPermanentFailure || attempts > MAXIMUM_FINAL_READ_ATTEMPTS) {
                remaining.remove(remaining.size() - 1);
                return readRemainingKeys(remaining, 0);
              }
              return vertx
                  .timer(50, TimeUnit.MILLISECONDS)
                  .compose(ignored -> readRemainingKeys(remaining, attempts + 1));
            });
  }
}
