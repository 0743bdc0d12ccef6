package org.toucanmast.cli;

import org.toucanmast.cli.ConfigurationEditor.Change;
import org.toucanmast.cli.ConfigurationEditor.EditResult;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;

/** Options of the commands that edit single values of the configuration. */
final class EditOptions {
  @Mixin private PlatformOptions platform;

  /**
   * Applies the change and prints the difference and the revision.
   *
   * @return the exit code
   * @throws CommandException when the change is invalid or could not be written
   */
  int edit(CommandSpec spec, Change change) throws CommandException {
    EditResult result = platform.run(editor -> new ConfigurationEditor(editor).edit(change));
    result.difference().forEach(line -> spec.commandLine().getOut().println(line));
    spec.commandLine().getOut().println("configuration revision " + result.revision());
    return ExitCodes.OK;
  }

  PlatformOptions platform() {
    return platform;
  }
}
