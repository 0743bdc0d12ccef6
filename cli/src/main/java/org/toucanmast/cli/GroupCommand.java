package org.toucanmast.cli;

import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Moves primaries as planned. */
@Command(
    name = "group",
    mixinStandardHelpOptions = true,
    description = "Move the primary of a database group.")
final class GroupCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "move",
      mixinStandardHelpOptions = true,
      description = "Prefer an endpoint as primary; the VMs move it there without loss.")
  int move(
      @Mixin EditOptions options,
      @Parameters(paramLabel = "DATABASE") String database,
      @Parameters(paramLabel = "ENDPOINT") String endpoint)
      throws CommandException {
    return options.edit(
        spec,
        document ->
            DocumentEdits.set(
                document, "database", database, Map.of("preferred-primary", endpoint)));
  }
}
