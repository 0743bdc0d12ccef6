package org.toucanmast.standin;

import org.toucanmast.cli.Main;
import org.toucanmast.standin.measure.MeasureCommand;
import picocli.CommandLine.Command;

/** The entry point of stand-ins and tools. */
@Command(
    name = "toucanmast",
    mixinStandardHelpOptions = true,
    version = "toucanmast 0.1.0",
    description = "Stand-ins and tools for trying and measuring toucanmast.",
    subcommands = {
      PlatformStandinCommand.class,
      DatabaseStandinCommand.class,
      LoadCommand.class,
      CheckHistoryCommand.class,
      MeasureCommand.class,
      QuickstartCommand.class
    })
public final class ToolMain {

  /** Runs a command and ends the process with its exit code, unless it goes on serving. */
  public static void main(String[] arguments) {
    int code = Main.commandLine(new ToolMain()).execute(arguments);
    if (code != SERVING) {
      System.exit(code);
    }
  }

  /** What a command returns that leaves a server running. */
  static final int SERVING = -1;
}
