package org.toucanmast.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Takes data centres out and brings them back. */
@Command(
    name = "data-centre",
    mixinStandardHelpOptions = true,
    description = "Take a data centre out of service and bring it back.")
final class DataCentreCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "take-out",
      mixinStandardHelpOptions = true,
      description = "Give it no new work; primaries there are moved first.")
  int takeOut(@Mixin EditOptions options, @Parameters(paramLabel = "NAME") String name)
      throws CommandException {
    return SectionState.set(spec, options, "data-centre", name, "out");
  }

  @Command(name = "bring-back", mixinStandardHelpOptions = true, description = "Use it again.")
  int bringBack(@Mixin EditOptions options, @Parameters(paramLabel = "NAME") String name)
      throws CommandException {
    return SectionState.set(spec, options, "data-centre", name, "serving");
  }
}
