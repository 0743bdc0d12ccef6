package org.toucanmast.cli;

import java.util.Map;
import picocli.CommandLine.Model.CommandSpec;

/** Sets the state of something that operators take out and bring back. */
final class SectionState {
  private SectionState() {}

  /**
   * Sets the state.
   *
   * @param kind the kind of section, for example {@code data-centre}
   */
  static int set(CommandSpec spec, EditOptions options, String kind, String name, String state)
      throws CommandException {
    return options.edit(
        spec, document -> DocumentEdits.set(document, kind, name, Map.of("state", state)));
  }
}
