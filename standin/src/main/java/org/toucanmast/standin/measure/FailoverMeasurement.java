package org.toucanmast.standin.measure;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;
import org.toucanmast.standin.load.LoadClient;

/**
 * Measures the gap of writes over many failures of a primary: from the first write that failed or
 * was late to the first acknowledged write after it, at the caller.
 */
final class FailoverMeasurement {
  private static final String DATABASE = "stock";
  private static final String CUSTOMER = "bench-1";
  private static final long WRITE_INTERVAL_IN_MILLISECONDS = 15;
  private static final long LATE_IN_NANOSECONDS = 100_000_000;

  private record Sample(long sentAt, long endedAt, boolean ran) {}

  private final Deployment deployment;
  private final int failovers;
  private final String rule;
  private final Vertx vertx = Vertx.vertx();
  private final List<Sample> samples = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger acknowledged = new AtomicInteger();

  FailoverMeasurement(Deployment deployment, int failovers, String rule) {
    this.deployment = deployment;
    this.failovers = failovers;
    this.rule = rule;
  }

  /** Returns rows of: fault, count, p50 and maximum gap in ms, lost acknowledged writes. */
  List<List<String>> run() throws IOException {
    String configuration =
        deployment
            .template()
            .replace("acknowledge = position", "acknowledge = " + rule)
            .replace("rate = 80/s", "rate = 400/s")
            .replace("burst = 40", "burst = 400");
    FleetPlan plan = FleetPlan.of(deployment).withConfiguration(configuration);
    try (Fleet fleet = Fleet.start(plan)) {
      long timer = startWriting(fleet);
      List<Double> crashes = new ArrayList<>();
      List<Double> cuts = new ArrayList<>();
      Figures.pause(2_000);
      for (int count = 0; count < failovers; count++) {
        boolean crash = count % 2 == 0;
        (crash ? crashes : cuts).add(failOnce(fleet, crash));
      }
      vertx.cancelTimer(timer);
      Figures.pause(1_000);
      long lost = acknowledged.get() - present(fleet);
      return List.of(row("crash", crashes, lost), row("cut from group and VMs", cuts, lost));
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private long startWriting(Fleet fleet) {
    LoadClient client = new LoadClient(vertx);
    List<String> vms = fleet.callerAddresses();
    AtomicInteger turn = new AtomicInteger();
    return vertx.setPeriodic(
        WRITE_INTERVAL_IN_MILLISECONDS,
        timer -> {
          int number = turn.incrementAndGet();
          long sentAt = System.nanoTime();
          JsonObject body =
              new JsonObject()
                  .put("kind", "write")
                  .put("statements", new JsonArray().add("add acknowledged 1"));
          client
              .send(
                  vms.get(number % vms.size()),
                  "/v1/databases/" + DATABASE + "/requests",
                  Fleet.keyOf(CUSTOMER),
                  "",
                  "write-" + number,
                  body)
              .onSuccess(
                  answer -> {
                    boolean ran = answer.outcome().equals("ran");
                    if (ran) {
                      acknowledged.incrementAndGet();
                    }
                    samples.add(new Sample(sentAt, System.nanoTime(), ran));
                  });
        });
  }

  private double failOnce(Fleet fleet, boolean crash) throws IOException {
    String control = fleet.databaseControls().get(DATABASE);
    String primary = primaryOf(fleet, control);
    JsonArray all = new JsonArray(new ArrayList<>(fleet.vms().keySet()));
    JsonObject fault =
        crash
            ? new JsonObject().put("crashed", true)
            : new JsonObject().put("cutFromGroup", true).put("blockedVms", all);
    long failedAt = System.nanoTime();
    fleet.control().setEndpoint(control, primary, fault);
    Figures.pause(2_500);
    fleet.control().setEndpoint(control, primary, new JsonObject());
    Figures.pause(1_500);
    return gapAfter(failedAt);
  }

  private double gapAfter(long failedAt) {
    List<Sample> after = new ArrayList<>(samples);
    after.removeIf(sample -> sample.endedAt() - failedAt < 0);
    after.removeIf(sample -> sample.sentAt() - failedAt < -LATE_IN_NANOSECONDS);
    long firstAffected =
        after.stream()
            .filter(each -> !each.ran() || each.endedAt() - each.sentAt() > LATE_IN_NANOSECONDS)
            .mapToLong(Sample::sentAt)
            .min()
            .orElse(failedAt);
    long firstAcknowledged =
        after.stream()
            .filter(each -> each.ran() && each.sentAt() - firstAffected >= 0)
            .mapToLong(Sample::endedAt)
            .min()
            .orElse(Long.MAX_VALUE);
    return (firstAcknowledged - firstAffected) / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }

  private static String primaryOf(Fleet fleet, String control) throws IOException {
    return fleet.control().endpoints(control).stream()
        .map(each -> (JsonObject) each)
        .filter(each -> each.getJsonObject("status").getString("role").equals("primary"))
        .max(Comparator.comparingLong(each -> each.getJsonObject("status").getLong("term")))
        .map(each -> each.getString("name"))
        .orElseThrow();
  }

  /** Returns how many acknowledged or unknown writes the surviving log holds. */
  private static long present(Fleet fleet) throws IOException {
    String control = fleet.databaseControls().get(DATABASE);
    return fleet.control().endpoint(control, primaryOf(fleet, control)).getJsonArray("log").size();
  }

  private static List<String> row(String fault, List<Double> gaps, long lost) {
    List<Double> sorted = gaps.stream().sorted().toList();
    return List.of(
        fault,
        Integer.toString(sorted.size()),
        Figures.decimal(sorted.get(sorted.size() / 2)),
        Figures.decimal(sorted.get(sorted.size() - 1)),
        lost > 0 ? "at least " + lost : "none seen");
  }
}
