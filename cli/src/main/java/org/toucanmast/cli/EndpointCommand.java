package org.toucanmast.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code endpoint} command: takes endpoints out of service and brings them back. */
@Command(
    name = "endpoint",
    mixinStandardHelpOptions = true,
    description = "Take an endpoint out of service and bring it back.")
final class EndpointCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "take-out",
      mixinStandardHelpOptions = true,
      description = "Stop sending new work to an endpoint; a primary there is moved first.")
  int takeOut(@Mixin EditOptions options, @Parameters(paramLabel = "NAME") String name)
      throws CommandException {
    return SectionState.set(spec, options, "endpoint", name, "leaving");
  }

  @Command(
      name = "bring-back",
      mixinStandardHelpOptions = true,
      description = "Return it to service.")
  int bringBack(@Mixin EditOptions options, @Parameters(paramLabel = "NAME") String name)
      throws CommandException {
    return SectionState.set(spec, options, "endpoint", name, "serving");
  }
}
