package org.toucanmast.runtime.ini;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.core.text.TextProblem;

/**
 * Reads and writes the sections of an INI file. Rejects repeated sections and keys, which the INI
 * parser would merge silently.
 *
 * <p>Example: {@code Map<String, Map<String, String>> sections = IniFile.read(path)}.
 */
public final class IniFile {
  private static final Pattern HEADER = Pattern.compile("(?m)^[ \\t]*\\[([^\\]\\r\\n]*)]");
  private static final long MAXIMUM_SIZE_IN_BYTES = 1_048_576;

  private IniFile() {}

  /**
   * Reads a file.
   *
   * @return values by section and key, in the order of the file
   * @throws InvalidTextException when the file cannot be read, is larger than 1 MiB or is not well
   *     formed
   */
  public static Map<String, Map<String, String>> read(Path file) throws InvalidTextException {
    String source = file.toString();
    try {
      if (Files.size(file) > MAXIMUM_SIZE_IN_BYTES) {
        throw problem(source, "", "", "is larger than " + MAXIMUM_SIZE_IN_BYTES + " bytes");
      }
      return parse(Files.readString(file), source);
    } catch (IOException e) {
      throw problem(source, "", "", "cannot be read: " + e.getMessage());
    }
  }

  /**
   * Parses a text in INI form.
   *
   * @param source the name of the text in error messages
   * @return values by section and key, in the order of the text
   * @throws InvalidTextException when the text is not well formed
   */
  public static Map<String, Map<String, String>> parse(String text, String source)
      throws InvalidTextException {
    List<TextProblem> problems = new ArrayList<>();
    reportRepeatedSections(text, source, problems);
    Map<String, Map<String, String>> sections = new LinkedHashMap<>();
    INIConfiguration ini = load(text, source);
    for (String name : ini.getSections()) {
      if (name == null) {
        problems.add(new TextProblem(source, "", "", "has keys before the first section"));
        continue;
      }
      sections.put(name, valuesOf(ini.getSection(name), source, name, problems));
    }
    if (!problems.isEmpty()) {
      throw new InvalidTextException(problems);
    }
    return sections;
  }

  /**
   * Returns the line or lines of a key and its value, in the simplest form that {@link #parse}
   * reads as the same key and value; empty if INI cannot carry them.
   */
  public static Optional<String> format(String key, String value) {
    return Stream.of(
            value,
            '"' + value.replace("\"", "\\\"") + '"',
            "'" + value.replace("'", "\\'") + "'",
            value.replace("\n", " \\\n"),
            value.replace("\n", " \\\n") + " \\\n")
        .map(form -> key + " = " + form + "\n")
        .filter(lines -> isReadAs(lines, key, value))
        .findFirst();
  }

  private static boolean isReadAs(String lines, String key, String value) {
    try {
      // A section follows, since a value can take in the next line.
      return parse("[first]\n" + lines + "[second]\nkey = value\n", "")
          .equals(Map.of("first", Map.of(key, value), "second", Map.of("key", "value")));
    } catch (InvalidTextException e) {
      return false;
    }
  }

  private static INIConfiguration load(String text, String source) throws InvalidTextException {
    INIConfiguration ini = new INIConfiguration();
    ini.setSeparatorUsedInInput("=");
    try {
      // A line that ends in a backslash is continued by the next one; the last one has one as well.
      ini.read(new StringReader(text + "\n\n"));
      return ini;
    } catch (ConfigurationException | IOException e) {
      throw problem(source, "", "", "is not an INI file: " + e.getMessage());
    }
  }

  private static void reportRepeatedSections(
      String text, String source, List<TextProblem> problems) {
    Set<String> seen = new HashSet<>();
    Matcher matcher = HEADER.matcher(text);
    while (matcher.find()) {
      if (!seen.add(matcher.group(1))) {
        problems.add(new TextProblem(source, matcher.group(1), "", "stands twice"));
      }
    }
  }

  private static Map<String, String> valuesOf(
      SubnodeConfiguration section, String source, String name, List<TextProblem> problems) {
    Map<String, String> values = new LinkedHashMap<>();
    Iterator<String> keys = section.getKeys();
    while (keys.hasNext()) {
      String key = keys.next();
      Object value = section.getProperty(key);
      // Commons Configuration doubles the dots within a key.
      String unescapedKey = key.replace("..", ".");
      if (value == null) {
        problems.add(new TextProblem(source, name, unescapedKey, "is not a key of an INI file"));
      } else if (value instanceof List<?>) {
        problems.add(new TextProblem(source, name, unescapedKey, "stands twice"));
      } else {
        values.put(unescapedKey, String.valueOf(value).trim());
      }
    }
    return values;
  }

  private static InvalidTextException problem(
      String source, String section, String key, String reason) {
    return new InvalidTextException(List.of(new TextProblem(source, section, key, reason)));
  }
}
