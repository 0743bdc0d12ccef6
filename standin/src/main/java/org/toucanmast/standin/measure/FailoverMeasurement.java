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
 * Measures how long writes are unavailable to a caller over many failures of a primary. A gap lasts
 * from the sending of the first write that failed or took more than 100 ms to the first answer that
 * acknowledges a write sent at that time or later.
 */
final class FailoverMeasurement {
  private static final String DATABASE = "stock";
  private static final String CUSTOMER = "bench-1";
  private static final long WRITE_INTERVAL_IN_MILLISECONDS = 15;
  private static final long LATE_THRESHOLD_IN_NANOSECONDS = 100_000_000;

  private record WriteSample(long sentAt, long endedAt, boolean ran) {}

  private final Deployment deployment;
  private final int failovers;
  private final String acknowledgementRule;
  private final Vertx vertx = Vertx.vertx();
  private final List<WriteSample> samples = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger acknowledgedWrites = new AtomicInteger();

  FailoverMeasurement(Deployment deployment, int failovers, String acknowledgementRule) {
    this.deployment = deployment;
    this.failovers = failovers;
    this.acknowledgementRule = acknowledgementRule;
  }

  /**
   * Alternates crashes and disconnections of the primary under a steady load of writes.
   *
   * @return a row for each fault: fault, count, median and maximum gap in milliseconds, lower bound
   *     of the acknowledged writes that were lost over both faults
   */
  List<List<String>> run() throws IOException {
    String configuration =
        deployment
            .template()
            .replace("acknowledge = position", "acknowledge = " + acknowledgementRule)
            .replace("rate = 80/s", "rate = 400/s")
            .replace("burst = 40", "burst = 400");
    FleetPlan plan = FleetPlan.of(deployment).withConfiguration(configuration);
    try (Fleet fleet = Fleet.start(plan)) {
      long timer = startWrites(fleet);
      List<Double> crashGaps = new ArrayList<>();
      List<Double> disconnectionGaps = new ArrayList<>();
      MeasurementUtils.pause(2_000);
      for (int count = 0; count < failovers; count++) {
        boolean crash = count % 2 == 0;
        (crash ? crashGaps : disconnectionGaps).add(measureFailover(fleet, crash));
      }
      vertx.cancelTimer(timer);
      MeasurementUtils.pause(1_000);
      long lost = acknowledgedWrites.get() - countWritesInLog(fleet);
      return List.of(
          row("crash", crashGaps, lost), row("cut from group and VMs", disconnectionGaps, lost));
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private long startWrites(Fleet fleet) {
    LoadClient client = new LoadClient(vertx);
    List<String> vms = fleet.callerAddresses();
    AtomicInteger writeCount = new AtomicInteger();
    return vertx.setPeriodic(
        WRITE_INTERVAL_IN_MILLISECONDS,
        timer -> {
          int number = writeCount.incrementAndGet();
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
                      acknowledgedWrites.incrementAndGet();
                    }
                    samples.add(new WriteSample(sentAt, System.nanoTime(), ran));
                  });
        });
  }

  /** Injects a fault into the primary for 2.5 s and returns the gap in milliseconds. */
  private double measureFailover(Fleet fleet, boolean crash) throws IOException {
    String control = fleet.databaseControls().get(DATABASE);
    String primary = primaryOf(fleet, control);
    JsonArray allVms = new JsonArray(new ArrayList<>(fleet.vms().keySet()));
    JsonObject fault =
        crash
            ? new JsonObject().put("crashed", true)
            : new JsonObject().put("cutFromGroup", true).put("blockedVms", allVms);
    long failedAt = System.nanoTime();
    fleet.control().setEndpoint(control, primary, fault);
    MeasurementUtils.pause(2_500);
    fleet.control().setEndpoint(control, primary, new JsonObject());
    MeasurementUtils.pause(1_500);
    return writeGapAfter(failedAt);
  }

  private double writeGapAfter(long failedAt) {
    List<WriteSample> after = new ArrayList<>(samples);
    after.removeIf(sample -> sample.endedAt() - failedAt < 0);
    after.removeIf(sample -> sample.sentAt() - failedAt < -LATE_THRESHOLD_IN_NANOSECONDS);
    long firstAffected =
        after.stream()
            .filter(
                each ->
                    !each.ran() || each.endedAt() - each.sentAt() > LATE_THRESHOLD_IN_NANOSECONDS)
            .mapToLong(WriteSample::sentAt)
            .min()
            .orElse(failedAt);
    long firstAcknowledged =
        after.stream()
            .filter(each -> each.ran() && each.sentAt() - firstAffected >= 0)
            .mapToLong(WriteSample::endedAt)
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

  /**
   * Returns the number of writes in the log of the current primary, also those of unknown outcome.
   */
  private static long countWritesInLog(Fleet fleet) throws IOException {
    String control = fleet.databaseControls().get(DATABASE);
    return fleet.control().endpoint(control, primaryOf(fleet, control)).getJsonArray("log").size();
  }

  private static List<String> row(String fault, List<Double> gaps, long lost) {
    List<Double> sorted = gaps.stream().sorted().toList();
    return List.of(
        fault,
        Integer.toString(sorted.size()),
        MeasurementUtils.decimal(sorted.get(sorted.size() / 2)),
        MeasurementUtils.decimal(sorted.get(sorted.size() - 1)),
        lost > 0 ? "at least " + lost : "none seen");
  }
}
