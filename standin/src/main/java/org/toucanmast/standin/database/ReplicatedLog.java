package org.toucanmast.standin.database;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.group.LogSummary;
import org.toucanmast.core.group.Position;
import org.toucanmast.standin.database.KeyValueState.StatementException;

/** The log of one endpoint and the state that it leads to. */
final class ReplicatedLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private final Map<String, Integer> indexOfRequest = new HashMap<>();
  private final List<Position> termStarts = new ArrayList<>();
  private KeyValueState state = new KeyValueState();

  List<LogEntry> entries() {
    return entries;
  }

  KeyValueState state() {
    return state;
  }

  int size() {
    return entries.size();
  }

  LogSummary summary() {
    return new LogSummary(end(), termStarts);
  }

  Position end() {
    return entries.isEmpty() ? Position.NONE : positionOf(entries.size());
  }

  Position positionOf(int index) {
    return new Position(entries.get(index - 1).term(), index);
  }

  /** Returns the index of a request's entry. */
  Optional<Integer> find(String requestId) {
    return Optional.ofNullable(indexOfRequest.get(requestId));
  }

  /** Runs statements and adds their entry. */
  LogEntry write(long term, String requestId, List<String> statements, long now)
      throws StatementException {
    List<String> rows = state.run(statements);
    LogEntry entry = new LogEntry(term, requestId, statements, rows, now);
    add(entry);
    return entry;
  }

  /** Adds an entry of the primary. */
  void replicate(LogEntry entry) {
    try {
      state.run(entry.statements());
    } catch (StatementException e) {
      throw new IllegalStateException(e);
    }
    add(entry);
  }

  private void add(LogEntry entry) {
    entries.add(entry);
    indexOfRequest.put(entry.requestId(), entries.size());
    boolean first =
        termStarts.isEmpty() || termStarts.get(termStarts.size() - 1).term() < entry.term();
    if (first) {
      termStarts.add(new Position(entry.term(), entries.size()));
    }
  }

  /** Removes every entry that the other log does not have at the same place. */
  void truncateToPrefixOf(ReplicatedLog other) {
    int common = Math.min(size(), other.size());
    int same = common;
    while (same > 0 && entries.get(same - 1) != other.entries.get(same - 1)) {
      same--;
    }
    if (same == size()) {
      return;
    }
    List<LogEntry> kept = new ArrayList<>(entries.subList(0, same));
    entries.clear();
    indexOfRequest.clear();
    termStarts.clear();
    state = new KeyValueState();
    kept.forEach(this::replicate);
  }
}
