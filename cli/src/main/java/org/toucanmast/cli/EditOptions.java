package org.toucanmast.cli;

import org.toucanmast.cli.ConfigurationEditor.Change;
import org.toucanmast.cli.ConfigurationEditor.Edited;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;

/** What all commands that make one small change share. */
final class EditOptions {
  @Mixin private PlatformOptions platform;

  /** Makes the change and prints what it did. */
  int edit(CommandSpec spec, Change change) throws CommandException {
    Edited edited = platform.run(editor -> new ConfigurationEditor(editor).edit(change));
    edited.difference().forEach(line -> spec.commandLine().getOut().println(line));
    spec.commandLine().getOut().println("configuration revision " + edited.revision());
    return ExitCodes.OK;
  }

  PlatformOptions platform() {
    return platform;
  }
}
