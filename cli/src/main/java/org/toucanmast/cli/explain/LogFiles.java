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
 * <p>A prefix before the JSON object of a line, as log collectors add it, is skipped. Truncated and
 * malformed lines are counted and left out.
 *
 * @param lines the log lines in the order in which they were read
 * @param unreadableLines the number of lines without a valid JSON object of a log line
 */
public record LogFiles(List<LogLine> lines, int unreadableLines) {
  /** Copies the list. */
  public LogFiles {
    lines = List.copyOf(lines);
  }

  /**
   * Reads the files in the given order, as UTF-8.
   *
   * @throws IOException when a file cannot be read
   */
  public static LogFiles read(List<Path> files) throws IOException {
    List<LogLine> lines = new ArrayList<>();
    int unreadableLines = 0;
    for (Path file : files) {
      // Replaces malformed UTF-8; the strict decoder of Files.newBufferedReader would throw
      // instead.
      try (BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
          unreadableLines += addLine(text, lines) ? 0 : 1;
        }
      }
    }
    return new LogFiles(lines, unreadableLines);
  }

  /** Adds a line; returns false when it cannot be read. Blank lines are skipped. */
  private static boolean addLine(String text, List<LogLine> lines) {
    if (text.isBlank()) {
      return true;
    }
    int start = text.indexOf('{');
    if (start < 0) {
      return false;
    }
    try {
      Optional<LogLine> line = LogLine.parse(new JsonObject(text.substring(start)));
      line.ifPresent(lines::add);
      return line.isPresent();
    } catch (DecodeException e) {
      return false;
    }
  }
}
