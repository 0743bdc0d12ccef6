package org.toucanmast.standin;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.toucanmast.cli.ExitCodes;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.standin.load.HistoryChecker;
import org.toucanmast.standin.load.HistoryEntry;
import org.toucanmast.standin.load.LoadScenario;
import org.toucanmast.standin.load.Violation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks the recorded history of a load run for violations. */
@Command(
    name = "check-history",
    mixinStandardHelpOptions = true,
    description = "Check a history of `load` for broken promises.")
final class CheckHistoryCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "FILE")
  private Path history;

  @Option(names = "--scenario", description = "Also check the allowances given in this scenario.")
  private Path scenario;

  @Override
  public Integer call() throws IOException, InvalidTextException {
    List<HistoryEntry> entries =
        Files.readAllLines(history).stream()
            .map(line -> new JsonObject(line).mapTo(HistoryEntry.class))
            .toList();
    Map<String, Allowance> allowances =
        scenario == null ? Map.of() : LoadScenario.read(scenario).allowances();
    List<Violation> violations = HistoryChecker.check(entries, allowances);
    violations.forEach(violation -> spec.commandLine().getOut().println(violation));
    spec.commandLine()
        .getOut()
        .println(entries.size() + " requests, " + violations.size() + " broken promises");
    return violations.isEmpty() ? ExitCodes.OK : ExitCodes.FAILED;
  }
}
