package org.toucanmast.cli.explain;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The lines of log files.
 *
 * <p>What stands before a line's object, as collectors of logs write it, is skipped. Lines that are
 * cut or broken are counted.
 *
 * @param lines in the order in which they were read
 * @param unreadable how many lines were no objects of a log
 */
public record LogFiles(List<LogLine> lines, int unreadable) {
  /** Keeps a copy. */
  public LogFiles {
    lines = List.copyOf(lines);
  }

  /** Reads files, one after the other. */
  public static LogFiles read(List<Path> files) throws IOException {
    List<LogLine> lines = new ArrayList<>();
    int unreadable = 0;
    for (Path file : files) {
      // Broken bytes become replacement characters, where a strict decoder would end the reading.
      try (BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
          unreadable += add(text, lines) ? 0 : 1;
        }
      }
    }
    return new LogFiles(lines, unreadable);
  }

  /** Adds a line; returns false when it cannot be read. Empty lines say nothing. */
  private static boolean add(String text, List<LogLine> lines) {
    if (text.isBlank()) {
      return true;
    }
    int start = text.indexOf('{');
    if (start < 0) {
      return false;
    }
    try {
      Optional<LogLine> line = LogLine.of(new JsonObject(text.substring(start)));
      line.ifPresent(lines::add);
      return line.isPresent();
    } catch (DecodeException e) {
      return false;
    }
  }
}
