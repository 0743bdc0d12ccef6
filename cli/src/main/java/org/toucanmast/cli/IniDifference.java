package org.toucanmast.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Compares two INI texts line by line, whatever the order of their sections and keys. */
final class IniDifference {
  private IniDifference() {}

  /**
   * Returns the removed lines, each after "- ", then the added lines, each after "+ ". A line of a
   * key starts with the header of its section, so that equal keys of two sections are told apart.
   */
  static List<String> of(String before, String after) {
    Set<String> oldLines = linesWithSection(before);
    Set<String> newLines = linesWithSection(after);
    List<String> difference = new ArrayList<>();
    oldLines.stream()
        .filter(line -> !newLines.contains(line))
        .forEach(line -> difference.add("- " + line));
    newLines.stream()
        .filter(line -> !oldLines.contains(line))
        .forEach(line -> difference.add("+ " + line));
    return difference;
  }

  private static Set<String> linesWithSection(String text) {
    Set<String> lines = new LinkedHashSet<>();
    String section = "";
    for (String line : text.lines().toList()) {
      if (line.startsWith("[")) {
        section = line;
        lines.add(line);
      } else if (!line.isBlank()) {
        lines.add(section + " " + line);
      }
    }
    return lines;
  }
}
