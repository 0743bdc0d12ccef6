package org.toucanmast.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The difference of two INI texts: each removed and each added line, under its section. */
final class TextDifference {
  private TextDifference() {}

  static List<String> of(String before, String after) {
    Set<String> old = qualified(before);
    Set<String> fresh = qualified(after);
    List<String> lines = new ArrayList<>();
    old.stream().filter(line -> !fresh.contains(line)).forEach(line -> lines.add("- " + line));
    fresh.stream().filter(line -> !old.contains(line)).forEach(line -> lines.add("+ " + line));
    return lines;
  }

  private static Set<String> qualified(String text) {
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
