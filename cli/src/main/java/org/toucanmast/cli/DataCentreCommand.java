package org.toucanmast.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code data-centre} command: takes data centres out of service and brings them back. */
@Command(
    name = "data-centre",
    mixinStandardHelpOptions = true,
    description = "Take a data centre out of service and bring it back.")
final class DataCentreCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "take-out",
      mixinStandardHelpOptions = true,
      description = "Stop sending new work to a data centre; its primaries are moved first.")
  int takeOut(@Mixin EditOptions options, @Parameters(paramLabel = "NAME") String name)
      throws CommandException {
    return SectionState.set(spec, options, "data-centre", name, "out");
  }

  @Command(
      name = "bring-back",
      mixinStandardHelpOptions = true,
      description = "Return it to service.")
  int bringBack(@Mixin EditOptions options, @Parameters(paramLabel = "NAME") String name)
      throws CommandException {
    return SectionState.set(spec, options, "data-centre", name, "serving");
  }
}
