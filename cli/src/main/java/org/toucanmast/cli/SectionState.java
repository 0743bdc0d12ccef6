package org.toucanmast.cli;

import java.util.Map;
import picocli.CommandLine.Model.CommandSpec;

/** Sets the state of a data centre or an endpoint in the configuration. */
final class SectionState {
  private SectionState() {}

  /**
   * Sets the {@code state} value of a section and prints the difference.
   *
   * @param kind the kind of section, for example {@code data-centre}
   * @return the exit code
   * @throws CommandException when the section does not exist or the change could not be written
   */
  static int set(CommandSpec spec, EditOptions options, String kind, String name, String state)
      throws CommandException {
    return options.edit(
        spec, document -> DocumentEdits.setValues(document, kind, name, Map.of("state", state)));
  }
}
