package org.toucanmast.cli;

import java.util.Map;
import java.util.Optional;
import org.toucanmast.schema.ConfigurationDocument;
import org.toucanmast.schema.Section;

/** Finds and changes sections of a configuration document. */
final class DocumentEdits {
  private DocumentEdits() {}

  /** Returns the section with the given kind and name, or empty. */
  static Optional<Section> findSection(ConfigurationDocument document, String kind, String name) {
    return document.getSectionsList().stream()
        .filter(section -> section.getKind().equals(kind) && section.getName().equals(name))
        .findFirst();
  }

  /**
   * Returns a copy of the document with values set in one section; its other values stay.
   *
   * @throws CommandException when there is no section of this kind and name
   */
  static ConfigurationDocument setValues(
      ConfigurationDocument document, String kind, String name, Map<String, String> values)
      throws CommandException {
    ConfigurationDocument.Builder changed = ConfigurationDocument.newBuilder();
    boolean found = false;
    for (Section section : document.getSectionsList()) {
      boolean matches = section.getKind().equals(kind) && section.getName().equals(name);
      found |= matches;
      changed.addSections(matches ? section.toBuilder().putAllValues(values).build() : section);
    }
    if (!found) {
      throw new CommandException(ExitCodes.INVALID, "there is no " + kind + " '" + name + "'");
    }
    return changed.build();
  }
}
