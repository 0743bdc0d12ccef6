package org.toucanmast.standin.measure;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;
import org.toucanmast.standin.fleet.ReadyVms;
import org.toucanmast.standin.fleet.SampleLoad;
import org.toucanmast.standin.load.HistoryEntry;
import org.toucanmast.standin.load.LoadReport;
import org.toucanmast.standin.load.LoadReport.CustomerFigures;
import org.toucanmast.standin.load.LoadRunner;
import org.toucanmast.standin.load.LoadScenario;

/** Measures the service of customers while something happens to the fleet. */
final class ServiceMeasurement {
  private static final double SHARE = 0.5;
  private static final String LOUD = "bench-2";
  private static final String SLOW_DATABASE = "dispatch";
  private static final long SLOW_SERVICE_IN_MICROSECONDS = 40_000;
  private static final long MICROSECONDS_PER_SECOND = 1_000_000;
  private static final double MICROSECONDS_PER_MILLISECOND = 1_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final int vms;
  private final int seconds;

  ServiceMeasurement(int vms, int seconds) {
    this.vms = vms;
    this.seconds = seconds;
  }

  /**
   * Returns rows of: customer, p99 alone, p99 beside a customer at eight times its rate and a slow
   * database, their ratio, success alone, success beside them.
   */
  List<List<String>> neighbours() throws IOException, InvalidTextException {
    Map<String, CustomerFigures> alone = figures(Map.of(), false);
    Map<String, CustomerFigures> beside = figures(Map.of(LOUD, Map.of("arrivals", "320/s")), true);
    List<List<String>> rows = new ArrayList<>();
    alone.forEach(
        (customer, before) -> {
          CustomerFigures after = beside.get(customer);
          rows.add(
              List.of(
                  customer.equals(LOUD) ? customer + " (loud)" : customer,
                  Figures.decimal(before.p99Milliseconds()),
                  Figures.decimal(after.p99Milliseconds()),
                  Figures.decimal(after.p99Milliseconds() / before.p99Milliseconds()),
                  success(before),
                  success(after)));
        });
    return rows;
  }

  private Map<String, CustomerFigures> figures(
      Map<String, Map<String, String>> overrides, boolean slow)
      throws IOException, InvalidTextException {
    FleetPlan plan = FleetPlan.of(Deployment.LENTES).withVms(vms);
    try (Fleet fleet = Fleet.start(plan)) {
      LoadScenario scenario = scenario(fleet, plan, overrides);
      if (slow) {
        slowDown(fleet);
      }
      List<HistoryEntry> history = start(fleet, scenario).join();
      Map<String, CustomerFigures> figures = new TreeMap<>();
      LoadReport.of(history, scenario, List.of())
          .customers()
          .forEach(each -> figures.put(each.customer(), each));
      return figures;
    }
  }

  private static void slowDown(Fleet fleet) throws IOException {
    String control = fleet.databaseControls().get(SLOW_DATABASE);
    JsonObject order = new JsonObject().put("serviceMicroseconds", SLOW_SERVICE_IN_MICROSECONDS);
    for (Object endpoint : fleet.control().endpoints(control)) {
      fleet.control().setEndpoint(control, ((JsonObject) endpoint).getString("name"), order);
    }
  }

  /** Returns rows of: second, event, requests, success, p50 and p99 in milliseconds. */
  List<List<String>> dataCentre() throws IOException, InvalidTextException {
    FleetPlan plan = FleetPlan.of(Deployment.LENTES).withVms(vms);
    try (Fleet fleet = Fleet.start(plan)) {
      LoadScenario scenario = scenario(fleet, plan, Map.of());
      CompletableFuture<List<HistoryEntry>> running = start(fleet, scenario);
      int out = seconds / 3;
      int back = 2 * seconds / 3;
      Figures.pause(1_000L * (out));
      fleet.runOperatorCommand("data-centre", "take-out", "medellin");
      Figures.pause(1_000L * (back - out));
      fleet.runOperatorCommand("data-centre", "bring-back", "medellin");
      return bySecond(running.join(), Map.of(out, "taken out", back, "brought back"));
    }
  }

  private static List<List<String>> bySecond(
      List<HistoryEntry> history, Map<Integer, String> events) {
    Map<Long, List<HistoryEntry>> seconds = new TreeMap<>();
    history.stream()
        .filter(entry -> entry.action() != HistoryEntry.Action.FINAL_READ)
        .forEach(
            entry ->
                seconds
                    .computeIfAbsent(
                        entry.plannedAt() / MICROSECONDS_PER_SECOND, key -> new ArrayList<>())
                    .add(entry));
    List<List<String>> rows = new ArrayList<>();
    seconds.forEach(
        (second, entries) -> {
          Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
          long ran = entries.stream().filter(HistoryEntry::ran).count();
          entries.forEach(
              entry -> latency.recordValue(Math.max(0, entry.endedAt() - entry.plannedAt())));
          rows.add(
              List.of(
                  second.toString(),
                  events.getOrDefault(second.intValue(), ""),
                  Integer.toString(entries.size()),
                  Figures.decimal(100.0 * ran / entries.size()) + "%",
                  Figures.decimal(latency.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND),
                  Figures.decimal(
                      latency.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND)));
        });
    return rows;
  }

  private LoadScenario scenario(
      Fleet fleet, FleetPlan plan, Map<String, Map<String, String>> overrides)
      throws InvalidTextException {
    return SampleLoad.of(
        fleet.fillPlaceholders(plan.configuration()),
        SHARE,
        seconds + "s\nwarm-up = 5s",
        1,
        new HashMap<>(overrides));
  }

  private static CompletableFuture<List<HistoryEntry>> start(Fleet fleet, LoadScenario scenario) {
    Vertx vertx = Vertx.vertx();
    return new LoadRunner(vertx, scenario, new ReadyVms(fleet))
        .run()
        .toCompletionStage()
        .toCompletableFuture()
        .whenComplete((history, cause) -> vertx.close());
  }

  private static String success(CustomerFigures figures) {
    return Figures.decimal(100.0 * figures.ran() / Math.max(1, figures.sent())) + "%";
  }
}
