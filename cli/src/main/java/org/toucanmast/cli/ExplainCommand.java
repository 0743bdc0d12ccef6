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

/** Explains what happened to a request, from the logs of all VMs. */
@Command(
    name = "explain",
    mixinStandardHelpOptions = true,
    description = {
      "Explain what happened to a request, from the log files of all VMs.",
      "Prints the cause, the request's lines in causal order, what the VMs that handled it"
          + " believed then, and what happened around it."
    })
final class ExplainCommand implements Callable<Integer> {
  private static final List<String> COLUMNS =
      List.of("part", "milliseconds", "vm", "event", "details");

  @Spec private CommandSpec spec;

  @Parameters(arity = "1..*", paramLabel = "LOG", description = "Log files of VMs.")
  private List<Path> files;

  @Option(
      names = "--request",
      required = true,
      paramLabel = "ID",
      description = "The request's id, as callers and endpoints see it.")
  private String request;

  @Option(names = "--output", defaultValue = "table")
  private OutputFormat output;

  @Override
  public Integer call() throws CommandException {
    LogFiles logs = read();
    Explanation explanation =
        Explanation.of(request, logs)
            .orElseThrow(
                () ->
                    new CommandException(
                        ExitCodes.FAILED,
                        "no line names request "
                            + request
                            + " among "
                            + logs.lines().size()
                            + " (unreadable: "
                            + logs.unreadable()
                            + "); successes are logged as samples only"));
    PrintWriter out = spec.commandLine().getOut();
    if (output == OutputFormat.JSON) {
      out.println(explanation.toJson().encodePrettily());
    } else {
      print(explanation, out);
    }
    return ExitCodes.OK;
  }

  private LogFiles read() throws CommandException {
    for (Path file : files) {
      if (!Files.isReadable(file)) {
        throw new CommandException(ExitCodes.INVALID, file + ": cannot be read");
      }
    }
    try {
      return LogFiles.read(files);
    } catch (IOException e) {
      throw new CommandException(ExitCodes.FAILED, "logs: " + e.getMessage());
    }
  }

  private void print(Explanation explanation, PrintWriter out) {
    out.println("request " + explanation.request() + ": " + explanation.sentence());
    long end = explanation.lines().stream().mapToLong(LogLine::time).max().orElseThrow();
    List<List<String>> rows = new ArrayList<>();
    add(rows, "request", explanation.lines(), end);
    add(rows, "belief", explanation.beliefs(), end);
    add(rows, "around", explanation.around(), end);
    out.print(output.render(COLUMNS, rows));
    if (explanation.unreadable() > 0) {
      out.println("unreadable lines: " + explanation.unreadable());
    }
  }

  private static void add(List<List<String>> rows, String part, List<LogLine> lines, long end) {
    for (LogLine line : lines) {
      rows.add(
          List.of(part, Long.toString(line.time() - end), line.vm(), line.event(), line.details()));
    }
  }
}
