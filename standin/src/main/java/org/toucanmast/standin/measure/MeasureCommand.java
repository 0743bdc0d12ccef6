package org.toucanmast.standin.measure;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanmast.cli.ExitCodes;
import org.toucanmast.cli.OutputFormat;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;
import org.toucanmast.standin.fleet.SampleLoad;
import org.toucanmast.standin.load.HistoryChecker;
import org.toucanmast.standin.load.HistoryEntry;
import org.toucanmast.standin.load.LoadReport;
import org.toucanmast.standin.load.LoadRunner;
import org.toucanmast.standin.load.LoadScenario;
import org.toucanmast.standin.start.StartMeasurement;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures complete fleets on this host and prints the results, without checking them. */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    description = "Measure a fleet of real processes on this host.")
public final class MeasureCommand {
  private static final int WARM_UP_IN_SECONDS = 5;

  @Spec private CommandSpec spec;

  @Command(
      name = "latency",
      mixinStandardHelpOptions = true,
      description = "Latency and throughput of one VM, compared with direct calls.")
  int latency(@Option(names = "--seconds", defaultValue = "5") long seconds) throws IOException {
    printTable(
        List.of("what", "lanes", "perSecond", "p50us", "p99us", "failed", "cpu%", "MiB"),
        new LatencyMeasurement(seconds).run());
    return ExitCodes.OK;
  }

  @Command(
      name = "failover",
      mixinStandardHelpOptions = true,
      description = "Write unavailability over many failures of a primary.")
  int failover(
      @Option(names = "--deployment", defaultValue = "lentes") Deployment deployment,
      @Option(names = "--count", defaultValue = "20") int count,
      @Option(names = "--acknowledge", defaultValue = "position") String rule)
      throws IOException {
    printTable(
        List.of("fault", "count", "p50ms", "maxms", "acknowledgedLost"),
        new FailoverMeasurement(deployment, count, rule).run());
    return ExitCodes.OK;
  }

  @Command(
      name = "slopes",
      mixinStandardHelpOptions = true,
      description = "Control-plane overhead of an idle VM as the fleet and its customers grow.")
  int slopes(
      @Option(names = "--fleet", split = ",", defaultValue = "2,4,8,16") List<Integer> fleets,
      @Option(names = "--extra-customers", split = ",", defaultValue = "0") List<Integer> extra,
      @Option(names = "--seconds", defaultValue = "10") long seconds)
      throws IOException {
    List<List<String>> rows = new ArrayList<>();
    for (int vms : fleets) {
      for (int customers : extra) {
        rows.add(new IdleOverheadMeasurement(seconds).run(vms, customers));
      }
    }
    printTable(
        List.of("VMs", "customers", "cpu%", "MiB", "peerB/s", "peerMsg/s", "platform/s", "editms"),
        rows);
    return ExitCodes.OK;
  }

  @Command(
      name = "allowances",
      mixinStandardHelpOptions = true,
      description = "Wrongful refusals, compared with other ways of sharing on the same arrivals.")
  int allowances(
      @Option(names = "--entry-vms", defaultValue = "8") int vms,
      @Option(names = "--seconds", defaultValue = "60") int seconds,
      @Option(names = "--percent", defaultValue = "70") int percent,
      @Option(names = "--spread", defaultValue = "all") String spread,
      @Option(
              names = "--kill-after",
              defaultValue = "0",
              description = "In seconds; 0 kills no VM.")
          int killAfter)
      throws IOException, InvalidTextException {
    FleetPlan plan = FleetPlan.of(Deployment.LENTES).withVms(vms);
    try (Fleet fleet = Fleet.start(plan)) {
      LoadScenario scenario = createScenario(fleet, plan, percent, seconds, spread);
      List<HistoryEntry> history = runLoad(fleet, scenario, killAfter, vms);
      Map<String, Allowance> allowances = scenario.allowances();
      spec.commandLine()
          .getOut()
          .print(
              LoadReport.of(history, scenario, HistoryChecker.check(history, allowances))
                  .toTable());
      AllowanceComparison.Counts counts =
          AllowanceComparison.of(history, allowances, vms, scenario.load().getWarmUp());
      printTable(
          List.of("arrivals", "chosenWay", "fixedShares", "borrowingAtNoCost"),
          List.of(
              List.of(
                  Long.toString(counts.arrivals()),
                  Long.toString(counts.observed()),
                  Long.toString(counts.fixedShares()),
                  Long.toString(counts.borrowing()))));
      return ExitCodes.OK;
    }
  }

  @Command(
      name = "neighbours",
      mixinStandardHelpOptions = true,
      description = "Service of customers beside one at eight times its rate and a slow database.")
  int neighbours(
      @Option(names = "--entry-vms", defaultValue = "3") int vms,
      @Option(names = "--seconds", defaultValue = "20") int seconds)
      throws IOException, InvalidTextException {
    printTable(
        List.of("customer", "p99 alone", "p99 beside", "ratio", "success", "beside"),
        new ServiceMeasurement(vms, seconds).neighbours());
    return ExitCodes.OK;
  }

  @Command(
      name = "data-centre",
      mixinStandardHelpOptions = true,
      description = "Service per second while a data centre is taken out and brought back.")
  int dataCentre(
      @Option(names = "--entry-vms", defaultValue = "3") int vms,
      @Option(names = "--seconds", defaultValue = "18") int seconds)
      throws IOException, InvalidTextException {
    printTable(
        List.of("second", "event", "requests", "success", "p50ms", "p99ms"),
        new ServiceMeasurement(vms, seconds).dataCentre());
    return ExitCodes.OK;
  }

  @Command(
      name = "start",
      mixinStandardHelpOptions = true,
      description = "Processor time of a start of the platform's jar; needs deploy/build.")
  int start(
      @Option(names = "--root", defaultValue = ".", description = "The source tree.") Path root,
      @Option(names = "--runs", defaultValue = "9") int runs,
      @Option(names = "--statements", defaultValue = "500") int statements)
      throws IOException, InterruptedException {
    printTable(
        List.of("phase", "cpuMs", "elapsedMs", "peakMiB", "failed"),
        new StartMeasurement(root, runs, statements).run());
    return ExitCodes.OK;
  }

  private static LoadScenario createScenario(
      Fleet fleet, FleetPlan plan, int percent, int seconds, String spread)
      throws InvalidTextException {
    Map<String, Map<String, String>> overrides = new HashMap<>();
    for (String customer :
        List.of(
            "bench-1",
            "bench-2",
            "bench-3",
            "bench-4",
            "clinic-norte",
            "clinic-sur",
            "clinic-centro",
            "desk")) {
      overrides.put(customer, Map.of("spread", spread));
    }
    return SampleLoad.of(
        fleet.fillPlaceholders(plan.configuration()),
        percent / 100.0,
        seconds + "s\nwarm-up = " + WARM_UP_IN_SECONDS + "s",
        1,
        overrides);
  }

  /**
   * Runs the load and returns its history. If {@code killAfter} is positive, kills the last VM
   * after that many seconds; this VM receives no requests but has its share of the allowances.
   */
  private static List<HistoryEntry> runLoad(
      Fleet fleet, LoadScenario scenario, int killAfter, int vms) {
    Vertx vertx = Vertx.vertx();
    List<String> addresses = new ArrayList<>(fleet.callerAddresses());
    if (killAfter > 0) {
      addresses.remove(fleet.vms().get("vm-" + vms).callerAddress());
      vertx.setTimer(killAfter * 1_000L, timer -> fleet.vms().get("vm-" + vms).process().kill());
    }
    try {
      return new LoadRunner(vertx, scenario, addresses)
          .run()
          .toCompletionStage()
          .toCompletableFuture()
          .join();
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private void printTable(List<String> columns, List<List<String>> rows) {
    spec.commandLine().getOut().print(OutputFormat.TABLE.render(columns, rows));
    spec.commandLine().getOut().flush();
  }
}
