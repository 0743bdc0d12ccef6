package org.toucanmast.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code customer} command: sets values of one customer's section. */
@Command(
    name = "customer",
    mixinStandardHelpOptions = true,
    description = "Change a customer's rate, opening hours and databases.")
final class CustomerCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "set",
      mixinStandardHelpOptions = true,
      description = "Set values of a customer; they override the values of its template.")
  int set(
      @Mixin EditOptions options,
      @Parameters(paramLabel = "CUSTOMER") String customer,
      @Option(names = "--rate", description = "Requests per second, for example 20/s.") String rate,
      @Option(names = "--burst", description = "Number of requests that may arrive at once.")
          String burst,
      @Option(names = "--opening-hours", description = "Time range, for example 07:00-19:00.")
          String hours,
      @Option(names = "--databases", description = "Comma-separated names.") String databases)
      throws CommandException {
    Map<String, String> values = new LinkedHashMap<>();
    putIfGiven(values, "rate", rate);
    putIfGiven(values, "burst", burst);
    putIfGiven(values, "opening-hours", hours);
    putIfGiven(values, "databases", databases);
    if (values.isEmpty()) {
      throw new CommandException(
          ExitCodes.INVALID,
          "nothing to set: expected --rate, --burst, --opening-hours or --databases");
    }
    return options.edit(
        spec, document -> DocumentEdits.setValues(document, "customer", customer, values));
  }

  private static void putIfGiven(Map<String, String> values, String key, String value) {
    if (value != null) {
      values.put(key, value);
    }
  }
}
