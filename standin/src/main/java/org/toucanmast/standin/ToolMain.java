package org.toucanmast.standin;

import org.toucanmast.cli.Main;
import org.toucanmast.standin.measure.MeasureCommand;
import picocli.CommandLine.Command;

/** Entry point of the stand-ins and tools. */
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

  /** Runs a command, then exits with its code unless the command left a server running. */
  public static void main(String[] arguments) {
    int code = Main.commandLine(new ToolMain()).execute(arguments);
    if (code != SERVING) {
      System.exit(code);
    }
  }

  /** Returned by a command that leaves a server running; not an exit code of the process. */
  static final int SERVING = -1;
}
