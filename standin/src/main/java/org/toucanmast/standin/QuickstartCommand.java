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

/** Starts a whole fleet on this machine, sends it a load and shows what came of it. */
@Command(
    name = "quickstart",
    mixinStandardHelpOptions = true,
    description = "Start a whole fleet on this machine and send it a mixed load.")
final class QuickstartCommand implements Callable<Integer> {
  private static final double SHARE = 0.5;
  private static final long PROGRESS_IN_MILLISECONDS = 1_000;

  @Spec private CommandSpec spec;

  @Option(
      names = "--deployment",
      defaultValue = "quickstart",
      description = "One of ${COMPLETION-CANDIDATES}.")
  private Deployment deployment;

  @Option(names = "--entry-vms", defaultValue = "3", description = "How many entry VMs.")
  private int vms;

  @Option(names = "--seconds", defaultValue = "5", description = "How long the load runs.")
  private int seconds;

  @Option(names = "--keep", description = "Leave everything running until Ctrl-C.")
  private boolean keep;

  @Override
  public Integer call() throws IOException, InvalidTextException {
    PrintWriter out = spec.commandLine().getOut();
    say(out, "starting the platform, the database groups and " + vms + " entry VMs ...");
    try (Fleet fleet = startWithHook(FleetPlan.of(deployment).withVms(vms))) {
      say(out, "all VMs are ready; sending load for " + seconds + " seconds ...");
      LoadReport report = load(fleet, out);
      say(out, report.toTable());
      explain(fleet, out);
      if (keep) {
        say(out, "\nEverything stays up; Ctrl-C ends it.");
        sleepForever();
      }
      return report.violations().isEmpty() ? ExitCodes.OK : ExitCodes.FAILED;
    }
  }

  private static Fleet startWithHook(FleetPlan plan) throws IOException {
    Fleet fleet = Fleet.start(plan);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> fleet.vms().values().forEach(vm -> vm.process().kill()), "end of fleet"));
    return fleet;
  }

  private LoadReport load(Fleet fleet, PrintWriter out) throws InvalidTextException {
    String configuration = fleet.fillPlaceholders(deployment.template());
    LoadScenario scenario = SampleLoad.of(configuration, SHARE, seconds + "s", 1, Map.of());
    Vertx vertx = Vertx.vertx();
    vertx.setPeriodic(
        PROGRESS_IN_MILLISECONDS,
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

  private void explain(Fleet fleet, PrintWriter out) {
    FleetVm vm = fleet.vms().values().iterator().next();
    String customer = deployment == Deployment.ASSOCIATION ? "shop-aflao" : "bench-1";
    String database = deployment == Deployment.ASSOCIATION ? "timetables-coast" : "stock";
    say(out, "By hand (with --keep, while it runs):");
    String authorization = "-H 'Authorization: Bearer " + Fleet.keyOf(customer) + "'";
    String url = "http://" + vm.callerAddress() + "/v1/databases/" + database + "/requests";
    String write = "'{\"statements\":[\"put pair-17 sorted\"]}'";
    String read = "'{\"kind\":\"read\",\"statements\":[\"get pair-17\"]}'";
    say(out, "  curl -i " + authorization + " -d " + write + " " + url);
    say(out, "  curl -i " + authorization + " -d " + read + " " + url);
    say(out, "  curl http://" + vm.adminAddress() + "/status");
    say(out, "  curl http://" + vm.adminAddress() + "/metrics");
    say(out, "The Session-Token header of an answer, sent back with the next request, makes the");
    say(out, "session read what it wrote.");
    Path directory = fleet.directory();
    if (keep) {
      say(out, "Platform: " + fleet.platformAddress() + ", files: " + directory);
    }
  }

  private static void say(PrintWriter out, String line) {
    out.println(line);
    out.flush();
  }

  private static void sleepForever() {
    try {
      TimeUnit.DAYS.sleep(1);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
