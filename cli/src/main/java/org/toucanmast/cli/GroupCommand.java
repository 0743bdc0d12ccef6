package org.toucanmast.cli;

import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code group} command: moves a database group's primary by a planned promotion. */
@Command(
    name = "group",
    mixinStandardHelpOptions = true,
    description = "Move the primary of a database group.")
final class GroupCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "move",
      mixinStandardHelpOptions = true,
      description = "Set the preferred primary; the VMs move the primary there without data loss.")
  int move(
      @Mixin EditOptions options,
      @Parameters(paramLabel = "DATABASE") String database,
      @Parameters(paramLabel = "ENDPOINT") String endpoint)
      throws CommandException {
    return options.edit(
        spec,
        document ->
            DocumentEdits.setValues(
                document, "database", database, Map.of("preferred-primary", endpoint)));
  }
}
