package org.toucanmast.cli;

import java.io.PrintWriter;
import org.toucanmast.core.text.InvalidTextException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root command of the command line and entry point of the process. */
@Command(
    name = "toucanmast",
    mixinStandardHelpOptions = true,
    version = "toucanmast 0.1.0",
    description = "A database proxy with session consistency.",
    subcommands = {
      ProxyCommand.class,
      SettingsCommand.class,
      ConfigurationCommand.class,
      CustomerCommand.class,
      KeyCommand.class,
      DataCentreCommand.class,
      EndpointCommand.class,
      GroupCommand.class,
      StatusCommand.class,
      ExplainCommand.class
    })
public final class Main implements Runnable {
  @Spec private CommandSpec spec;

  /** Runs a command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    System.exit(commandLine(new Main()).execute(arguments));
  }

  /** Returns a command line for a root command that maps exceptions to {@link ExitCodes}. */
  public static CommandLine commandLine(Object root) {
    return new CommandLine(root)
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(Main::printAndMapToExitCode);
  }

  private static int printAndMapToExitCode(
      Exception error, CommandLine command, CommandLine.ParseResult parsed) throws Exception {
    PrintWriter err = command.getErr();
    if (error instanceof InvalidTextException) {
      err.println(error.getMessage());
      return ExitCodes.INVALID;
    }
    if (error instanceof CommandException failure) {
      err.println("toucanmast: " + failure.getMessage());
      return failure.exitCode();
    }
    throw error;
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "Missing subcommand; see --help");
  }
}
