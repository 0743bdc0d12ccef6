package org.toucanmast.standin.database;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A key-value state that executes the statements {@code get KEY}, {@code put KEY VALUE}, {@code add
 * KEY NUMBER} and {@code append KEY VALUE}.
 */
final class KeyValueState {
  /** Thrown when a statement is invalid. */
  static final class StatementException extends Exception {
    StatementException(String statement) {
      super("cannot run '" + statement + "': expected get, put, add or append");
    }
  }

  private final Map<String, String> values;

  KeyValueState() {
    this(new HashMap<>());
  }

  private KeyValueState(Map<String, String> values) {
    this.values = values;
  }

  KeyValueState copy() {
    return new KeyValueState(new HashMap<>(values));
  }

  /**
   * Executes the statements in order, and returns one row for each.
   *
   * @throws StatementException if a statement is invalid; then none is executed
   */
  List<String> run(List<String> statements) throws StatementException {
    for (String statement : statements) {
      validate(statement);
    }
    List<String> rows = new ArrayList<>();
    for (String statement : statements) {
      rows.add(execute(statement.split(" ", 3)));
    }
    return rows;
  }

  private static void validate(String statement) throws StatementException {
    String[] words = statement.split(" ", 3);
    boolean valid =
        switch (words[0]) {
          case "get" -> words.length == 2;
          case "put", "append" -> words.length == 3;
          case "add" -> words.length == 3 && words[2].matches("-?[0-9]{1,15}");
          default -> false;
        };
    if (!valid) {
      throw new StatementException(statement);
    }
  }

  private String execute(String[] words) {
    String key = words[1];
    return switch (words[0]) {
      case "put" -> {
        values.put(key, words[2]);
        yield words[2];
      }
      case "append" ->
          values.merge(key, words[2], (existing, appended) -> existing + "," + appended);
      case "add" -> {
        long sum = Long.parseLong(values.getOrDefault(key, "0")) + Long.parseLong(words[2]);
        values.put(key, Long.toString(sum));
        yield Long.toString(sum);
      }
      default -> values.getOrDefault(key, "");
    };
  }
}
