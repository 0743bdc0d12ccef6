package org.toucanmast.cli.explain;

import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.toucanmast.runtime.events.EventKind;

/**
 * One line of a VM's log.
 *
 * @param time when it was written, by the VM's clock, in milliseconds since the Unix epoch
 * @param vm the VM that wrote it
 * @param kind the name of an {@link EventKind}
 * @param event what happened, a short fixed text
 * @param fields all other fields, their values as text
 */
public record LogLine(long time, String vm, String kind, String event, Map<String, String> fields) {
  private static final List<String> COMMON_FIELDS = List.of("time", "vm", "kind", "event");

  /** Copies the fields. */
  public LogLine {
    fields = Map.copyOf(fields);
  }

  /** Parses the JSON object of a line; empty when a common field is missing or has a wrong type. */
  static Optional<LogLine> parse(JsonObject json) {
    boolean hasCommonFields =
        json.getValue("time") instanceof Number
            && json.getValue("vm") instanceof String
            && json.getValue("kind") instanceof String
            && json.getValue("event") instanceof String;
    if (!hasCommonFields) {
      return Optional.empty();
    }
    Map<String, String> fields = new TreeMap<>();
    json.forEach(entry -> fields.put(entry.getKey(), String.valueOf(entry.getValue())));
    fields.keySet().removeAll(COMMON_FIELDS);
    return Optional.of(
        new LogLine(
            json.getLong("time"),
            json.getString("vm"),
            json.getString("kind"),
            json.getString("event"),
            fields));
  }

  /** Returns the value of a field, or an empty text when the line does not have it. */
  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns the value of a numeric field, or 0 when it is missing or not a whole number. */
  long numericField(String name) {
    try {
      return Long.parseLong(field(name));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** Returns whether the line has the given kind. */
  boolean hasKind(EventKind expected) {
    return kind.equals(expected.name());
  }

  /**
   * Returns the fields other than the request id that are not empty, sorted by name, as text such
   * as "group g, term 4".
   */
  public String details() {
    StringBuilder text = new StringBuilder();
    new TreeMap<>(fields)
        .forEach(
            (name, value) -> {
              if (!name.equals("request") && !value.isEmpty()) {
                text.append(text.length() == 0 ? "" : ", ").append(name).append(' ').append(value);
              }
            });
    return text.toString();
  }
}
