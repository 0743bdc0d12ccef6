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
 * @param time when it was written by the VM's clock, in milliseconds of the Unix epoch
 * @param vm the VM that wrote it
 * @param kind the kind of event
 * @param event what happened, in a few fixed words
 * @param fields everything else
 */
public record LogLine(long time, String vm, String kind, String event, Map<String, String> fields) {
  private static final List<String> COMMON = List.of("time", "vm", "kind", "event");

  /** Keeps a copy. */
  public LogLine {
    fields = Map.copyOf(fields);
  }

  /** Reads a line's JSON object; empty when a common field is missing or of another type. */
  static Optional<LogLine> of(JsonObject json) {
    boolean isWhole =
        json.getValue("time") instanceof Number
            && json.getValue("vm") instanceof String
            && json.getValue("kind") instanceof String
            && json.getValue("event") instanceof String;
    if (!isWhole) {
      return Optional.empty();
    }
    Map<String, String> fields = new TreeMap<>();
    json.forEach(entry -> fields.put(entry.getKey(), String.valueOf(entry.getValue())));
    fields.keySet().removeAll(COMMON);
    return Optional.of(
        new LogLine(
            json.getLong("time"),
            json.getString("vm"),
            json.getString("kind"),
            json.getString("event"),
            fields));
  }

  /** Returns a field, or an empty text. */
  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns a numeric field, or 0. */
  long number(String name) {
    try {
      return Long.parseLong(field(name));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** Returns whether the line is of a kind. */
  boolean isOf(EventKind wanted) {
    return kind.equals(wanted.name());
  }

  /** Returns the fields that are not named elsewhere, as text. */
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
