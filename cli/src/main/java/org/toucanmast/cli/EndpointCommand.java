package org.toucanmast.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Takes single endpoints out and brings them back. */
@Command(
    name = "endpoint",
    mixinStandardHelpOptions = true,
    description = "Take an endpoint out of service and bring it back.")
final class EndpointCommand {
  @Spec private CommandSpec spec;

  @Command(
      name = "take-out",
      mixinStandardHelpOptions = true,
      description = "Give it no new work; a primary there is moved first.")
  int takeOut(@Mixin EditOptions options, @Parameters(paramLabel = "NAME") String name)
      throws CommandException {
    return SectionState.set(spec, options, "endpoint", name, "leaving");
  }

  @Command(name = "bring-back", mixinStandardHelpOptions = true, description = "Use it again.")
  int bringBack(@Mixin EditOptions options, @Parameters(paramLabel = "NAME") String name)
      throws CommandException {
    return SectionState.set(spec, options, "endpoint", name, "serving");
  }
}
