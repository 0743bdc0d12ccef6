package org.toucanmast.standin;

import com.google.common.base.Splitter;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.toucanmast.cli.ExitCodes;
import org.toucanmast.cli.OutputFormat;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.standin.load.HistoryChecker;
import org.toucanmast.standin.load.HistoryEntry;
import org.toucanmast.standin.load.LoadReport;
import org.toucanmast.standin.load.LoadRunner;
import org.toucanmast.standin.load.LoadScenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Sends an open-loop load to running VMs and prints its results. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = "Send an open-loop load to running VMs and print its results.")
final class LoadCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--scenario", required = true, paramLabel = "FILE")
  private Path scenarioFile;

  @Option(
      names = "--vms",
      required = true,
      paramLabel = "ADDRESSES",
      description = "Addresses of the VMs' listeners for callers, separated by commas.")
  private String vms;

  @Option(
      names = "--history",
      paramLabel = "FILE",
      description = "Write every request to this file.")
  private Path historyFile;

  @Option(names = "--output", defaultValue = "table")
  private OutputFormat output;

  @Override
  public Integer call() throws InvalidTextException, IOException {
    LoadScenario scenario = LoadScenario.read(scenarioFile);
    List<String> addresses = Splitter.on(',').trimResults().splitToList(vms);
    List<HistoryEntry> history = runLoad(scenario, addresses);
    if (historyFile != null) {
      Files.write(historyFile, history.stream().map(HistoryEntry::toJsonLine).toList());
    }
    LoadReport report =
        LoadReport.of(history, scenario, HistoryChecker.check(history, scenario.allowances()));
    spec.commandLine()
        .getOut()
        .print(
            output == OutputFormat.JSON
                ? report.toJson().encodePrettily() + System.lineSeparator()
                : report.toTable());
    return report.violations().isEmpty() ? ExitCodes.OK : ExitCodes.FAILED;
  }

  private static List<HistoryEntry> runLoad(LoadScenario scenario, List<String> addresses) {
    Vertx vertx = Vertx.vertx();
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
}
