package org.toucanmast.standin;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.toucanmast.cli.ExitCodes;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;
import org.toucanmast.standin.fleet.FleetVm;
import org.toucanmast.standin.fleet.SampleLoad;
import org.toucanmast.standin.load.HistoryChecker;
import org.toucanmast.standin.load.HistoryEntry;
import org.toucanmast.standin.load.LoadReport;
import org.toucanmast.standin.load.LoadRunner;
import org.toucanmast.standin.load.LoadScenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Starts a complete fleet on this host, sends it a load and prints the results. */
@Command(
    name = "quickstart",
    mixinStandardHelpOptions = true,
    description = "Start a complete fleet on this host and send it a mixed load.")
final class QuickstartCommand implements Callable<Integer> {
  /** The arrival rate as a fraction of each customer's allowed rate. */
  private static final double LOAD_FACTOR = 0.5;

  private static final long PROGRESS_INTERVAL_IN_MILLISECONDS = 1_000;

  @Spec private CommandSpec spec;

  @Option(
      names = "--deployment",
      defaultValue = "quickstart",
      description = "One of ${COMPLETION-CANDIDATES}.")
  private Deployment deployment;

  @Option(names = "--entry-vms", defaultValue = "3", description = "Number of entry VMs.")
  private int vms;

  @Option(
      names = "--seconds",
      defaultValue = "5",
      description = "Duration of the load, in seconds.")
  private int seconds;

  @Option(names = "--keep", description = "Keep the fleet running until Ctrl-C.")
  private boolean keep;

  @Override
  public Integer call() throws IOException, InvalidTextException {
    PrintWriter out = spec.commandLine().getOut();
    printLine(out, "starting the platform, the database groups and " + vms + " entry VMs ...");
    try (Fleet fleet = startWithShutdownHook(FleetPlan.of(deployment).withVms(vms))) {
      printLine(out, "all VMs are ready; sending load for " + seconds + " seconds ...");
      LoadReport report = runLoad(fleet, out);
      printLine(out, report.toTable());
      printExampleCalls(fleet, out);
      if (keep) {
        printLine(out, "\nThe fleet keeps running; press Ctrl-C to stop it.");
        waitForSignal();
      }
      return report.violations().isEmpty() ? ExitCodes.OK : ExitCodes.FAILED;
    }
  }

  private static Fleet startWithShutdownHook(FleetPlan plan) throws IOException {
    Fleet fleet = Fleet.start(plan);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> fleet.vms().values().forEach(vm -> vm.process().kill()), "end of fleet"));
    return fleet;
  }

  private LoadReport runLoad(Fleet fleet, PrintWriter out) throws InvalidTextException {
    String configuration = fleet.fillPlaceholders(deployment.template());
    LoadScenario scenario = SampleLoad.of(configuration, LOAD_FACTOR, seconds + "s", 1, Map.of());
    Vertx vertx = Vertx.vertx();
    vertx.setPeriodic(
        PROGRESS_INTERVAL_IN_MILLISECONDS,
        timer -> {
          out.print('.');
          out.flush();
        });
    try {
      List<HistoryEntry> history =
          new LoadRunner(vertx, scenario, fleet.callerAddresses())
              .run()
              .toCompletionStage()
              .toCompletableFuture()
              .join();
      out.println();
      return LoadReport.of(history, scenario, HistoryChecker.check(history, scenario.allowances()));
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  /** Prints calls that a user can send to the running fleet with curl. */
  private void printExampleCalls(Fleet fleet, PrintWriter out) {
    FleetVm vm = fleet.vms().values().iterator().next();
    String customer = deployment == Deployment.ASSOCIATION ? "shop-aflao" : "bench-1";
    String database = deployment == Deployment.ASSOCIATION ? "timetables-coast" : "stock";
    printLine(out, "Example calls (with --keep, while the fleet runs):");
    String authorization = "-H 'Authorization: Bearer " + Fleet.keyOf(customer) + "'";
    String url = "http://" + vm.callerAddress() + "/v1/databases/" + database + "/requests";
    String write = "'{\"statements\":[\"put pair-17 sorted\"]}'";
    String read = "'{\"kind\":\"read\",\"statements\":[\"get pair-17\"]}'";
    printLine(out, "  curl -i " + authorization + " -d " + write + " " + url);
    printLine(out, "  curl -i " + authorization + " -d " + read + " " + url);
    printLine(out, "  curl http://" + vm.adminAddress() + "/status");
    printLine(out, "  curl http://" + vm.adminAddress() + "/metrics");
    printLine(
        out,
        "Send the Session-Token header of a response with the next request of the session, so");
    printLine(out, "that the session reads its own writes.");
    Path directory = fleet.directory();
    if (keep) {
      printLine(out, "Platform: " + fleet.platformAddress() + ", files: " + directory);
    }
  }

  private static void printLine(PrintWriter out, String line) {
    out.println(line);
    out.flush();
  }

  /** Waits until the process is ended by a signal, at most one day. */
  private static void waitForSignal() {
    try {
      TimeUnit.DAYS.sleep(1);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
