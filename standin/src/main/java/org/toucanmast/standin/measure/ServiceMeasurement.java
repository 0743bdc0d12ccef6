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

/** Measures success and latency of customers while the fleet is disturbed. */
final class ServiceMeasurement {
  /** The arrival rate as a fraction of each customer's allowed rate. */
  private static final double LOAD_FACTOR = 0.5;

  private static final String NOISY_CUSTOMER = "bench-2";
  private static final String SLOW_DATABASE = "dispatch";
  private static final long SLOW_SERVICE_TIME_IN_MICROSECONDS = 40_000;
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
   * Measures the effect of a noisy customer, which sends eight times its rate, and of a slow
   * database on all customers.
   *
   * @return rows of: customer, p99 without and with the disturbance in milliseconds, their ratio,
   *     success without and with the disturbance
   */
  List<List<String>> neighbours() throws IOException, InvalidTextException {
    Map<String, CustomerFigures> undisturbed = measureCustomers(Map.of(), false);
    Map<String, CustomerFigures> disturbed =
        measureCustomers(Map.of(NOISY_CUSTOMER, Map.of("arrivals", "320/s")), true);
    List<List<String>> rows = new ArrayList<>();
    undisturbed.forEach(
        (customer, withoutDisturbance) -> {
          CustomerFigures withDisturbance = disturbed.get(customer);
          rows.add(
              List.of(
                  customer.equals(NOISY_CUSTOMER) ? customer + " (loud)" : customer,
                  MeasurementUtils.decimal(withoutDisturbance.p99Milliseconds()),
                  MeasurementUtils.decimal(withDisturbance.p99Milliseconds()),
                  MeasurementUtils.decimal(
                      withDisturbance.p99Milliseconds() / withoutDisturbance.p99Milliseconds()),
                  formatSuccess(withoutDisturbance),
                  formatSuccess(withDisturbance)));
        });
    return rows;
  }

  private Map<String, CustomerFigures> measureCustomers(
      Map<String, Map<String, String>> overrides, boolean hasSlowDatabase)
      throws IOException, InvalidTextException {
    FleetPlan plan = FleetPlan.of(Deployment.LENTES).withVms(vms);
    try (Fleet fleet = Fleet.start(plan)) {
      LoadScenario scenario = createScenario(fleet, plan, overrides);
      if (hasSlowDatabase) {
        slowDownDatabase(fleet);
      }
      List<HistoryEntry> history = start(fleet, scenario).join();
      Map<String, CustomerFigures> figures = new TreeMap<>();
      LoadReport.of(history, scenario, List.of())
          .customers()
          .forEach(each -> figures.put(each.customer(), each));
      return figures;
    }
  }

  private static void slowDownDatabase(Fleet fleet) throws IOException {
    String control = fleet.databaseControls().get(SLOW_DATABASE);
    JsonObject settings =
        new JsonObject().put("serviceMicroseconds", SLOW_SERVICE_TIME_IN_MICROSECONDS);
    for (Object endpoint : fleet.control().endpoints(control)) {
      fleet.control().setEndpoint(control, ((JsonObject) endpoint).getString("name"), settings);
    }
  }

  /**
   * Measures the service while a data centre is taken out, after a third of the run, and brought
   * back, after two thirds.
   *
   * @return rows of: second, event, requests, success, p50 and p99 in milliseconds
   */
  List<List<String>> dataCentre() throws IOException, InvalidTextException {
    FleetPlan plan = FleetPlan.of(Deployment.LENTES).withVms(vms);
    try (Fleet fleet = Fleet.start(plan)) {
      LoadScenario scenario = createScenario(fleet, plan, Map.of());
      CompletableFuture<List<HistoryEntry>> running = start(fleet, scenario);
      int takenOutAtSecond = seconds / 3;
      int broughtBackAtSecond = 2 * seconds / 3;
      MeasurementUtils.pause(1_000L * (takenOutAtSecond));
      fleet.runOperatorCommand("data-centre", "take-out", "medellin");
      MeasurementUtils.pause(1_000L * (broughtBackAtSecond - takenOutAtSecond));
      fleet.runOperatorCommand("data-centre", "bring-back", "medellin");
      return toRowsBySecond(
          running.join(),
          Map.of(takenOutAtSecond, "taken out", broughtBackAtSecond, "brought back"));
    }
  }

  private static List<List<String>> toRowsBySecond(
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
                  MeasurementUtils.decimal(100.0 * ran / entries.size()) + "%",
                  MeasurementUtils.decimal(
                      latency.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND),
                  MeasurementUtils.decimal(
                      latency.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND)));
        });
    return rows;
  }

  private LoadScenario createScenario(
      Fleet fleet, FleetPlan plan, Map<String, Map<String, String>> overrides)
      throws InvalidTextException {
    return SampleLoad.of(
        fleet.fillPlaceholders(plan.configuration()),
        LOAD_FACTOR,
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

  private static String formatSuccess(CustomerFigures figures) {
    return MeasurementUtils.decimal(100.0 * figures.ran() / Math.max(1, figures.sent())) + "%";
  }
}
