package org.toucanmast.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** Output formats of command results. */
public enum OutputFormat {
  /** A text table with aligned columns, for people. */
  TABLE {
    @Override
    public String render(List<String> columns, List<List<String>> rows) {
      List<List<String>> lines = new ArrayList<>();
      lines.add(columns);
      lines.addAll(rows);
      StringBuilder text = new StringBuilder();
      for (List<String> line : lines) {
        for (int column = 0; column < columns.size(); column++) {
          int width = widthOf(lines, column);
          String cell = line.get(column);
          text.append(cell);
          if (column < columns.size() - 1) {
            text.append(" ".repeat(width - cell.length() + 2));
          }
        }
        text.append(System.lineSeparator());
      }
      return text.toString();
    }
  },
  /** A JSON array with one object for each row, for programs. */
  JSON {
    @Override
    public String render(List<String> columns, List<List<String>> rows) {
      JsonArray array = new JsonArray();
      for (List<String> row : rows) {
        JsonObject object = new JsonObject();
        for (int column = 0; column < columns.size(); column++) {
          object.put(columns.get(column), row.get(column));
        }
        array.add(object);
      }
      return array.encodePrettily() + System.lineSeparator();
    }
  };

  /** Renders rows under the given column names. */
  public abstract String render(List<String> columns, List<List<String>> rows);

  private static int widthOf(List<List<String>> lines, int column) {
    return lines.stream().mapToInt(line -> line.get(column).length()).max().orElse(0);
  }
}
