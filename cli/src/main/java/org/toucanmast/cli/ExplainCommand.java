package org.toucanmast.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.toucanmast.cli.explain.Explanation;
import org.toucanmast.cli.explain.LogFiles;
import org.toucanmast.cli.explain.LogLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code explain} command: reports the cause of the outcome of one request from VM logs. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = {
      "Explain what happened to a request, from the log files of all VMs.",
      "Prints the cause, the request's log lines in causal order, the state known to the VMs that"
          + " handled it (belief), and related events around the time of the outcome (around)."
    })
final class ExplainCommand implements Callable<Integer> {
  private static final List<String> COLUMNS =
      List.of("part", "milliseconds", "vm", "event", "details");

  @Spec private CommandSpec spec;

  @Parameters(arity = "1..*", paramLabel = "LOG", description = "Log files of the VMs.")
  private List<Path> files;

  @Option(
      names = "--request",
      required = true,
      paramLabel = "ID",
      description = "The request id, as callers and endpoints receive it.")
  private String request;

  @Option(names = "--output", defaultValue = "table")
  private OutputFormat output;

  @Override
  public Integer call() throws CommandException {
    LogFiles logs = readLogs();
    Explanation explanation =
        Explanation.of(request, logs)
            .orElseThrow(
                () ->
                    new CommandException(
                        ExitCodes.FAILED,
                        "no log line of request "
                            + request
                            + " found among "
                            + logs.lines().size()
                            + " lines (unreadable: "
                            + logs.unreadableLines()
                            + "); fast successful requests are logged as samples only"));
    PrintWriter out = spec.commandLine().getOut();
    if (output == OutputFormat.JSON) {
      out.println(explanation.toJson().encodePrettily());
    } else {
      printTable(explanation, out);
    }
    return ExitCodes.OK;
  }

  private LogFiles readLogs() throws CommandException {
    for (Path file : files) {
      if (!Files.isReadable(file)) {
        throw new CommandException(ExitCodes.INVALID, file + ": cannot be read");
      }
    }
    try {
      return LogFiles.read(files);
    } catch (IOException e) {
      throw new CommandException(ExitCodes.FAILED, "cannot read the log files: " + e.getMessage());
    }
  }

  private void printTable(Explanation explanation, PrintWriter out) {
    out.println("request " + explanation.request() + ": " + explanation.description());
    long outcomeTime = explanation.lines().stream().mapToLong(LogLine::time).max().orElseThrow();
    List<List<String>> rows = new ArrayList<>();
    addRows(rows, "request", explanation.lines(), outcomeTime);
    addRows(rows, "belief", explanation.knownState(), outcomeTime);
    addRows(rows, "around", explanation.relatedEvents(), outcomeTime);
    out.print(output.render(COLUMNS, rows));
    if (explanation.unreadableLines() > 0) {
      out.println("unreadable lines: " + explanation.unreadableLines());
    }
  }

  private static void addRows(
      List<List<String>> rows, String part, List<LogLine> lines, long outcomeTime) {
    for (LogLine line : lines) {
      rows.add(
          List.of(
              part,
              Long.toString(line.time() - outcomeTime),
              line.vm(),
              line.event(),
              line.details()));
    }
  }
}
