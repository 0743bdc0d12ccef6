package org.toucanmast.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.toucanmast.schema.ConfigurationDocument;
import org.toucanmast.schema.Section;

/** Compares two documents value by value, whatever the order of their sections and keys. */
final class DocumentDifference {
  private DocumentDifference() {}

  /** A header, with an empty key and value, or a key and its value. */
  private record Line(String header, String key, String value) {
    private String text() {
      return key.isEmpty() && value.isEmpty() ? header : header + " " + key + " = " + value;
    }
  }

  /**
   * Returns the removed lines, each after "- ", then the added lines, each after "+ ". A line of a
   * key starts with the header of its section, so that equal keys of two sections are told apart.
   */
  static List<String> of(ConfigurationDocument before, ConfigurationDocument after) {
    Set<Line> oldLines = linesOf(before);
    Set<Line> newLines = linesOf(after);
    List<String> difference = new ArrayList<>();
    oldLines.stream()
        .filter(line -> !newLines.contains(line))
        .forEach(line -> difference.add("- " + line.text()));
    newLines.stream()
        .filter(line -> !oldLines.contains(line))
        .forEach(line -> difference.add("+ " + line.text()));
    return difference;
  }

  private static Set<Line> linesOf(ConfigurationDocument document) {
    Set<Line> lines = new LinkedHashSet<>();
    for (Section section : document.getSectionsList()) {
      String header = "[" + section.getKind() + " " + section.getName() + "]";
      lines.add(new Line(header, "", ""));
      new TreeMap<>(section.getValuesMap())
          .forEach((key, value) -> lines.add(new Line(header, key, value)));
    }
    return lines;
  }
}
