package org.toucanmast.standin.database;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.group.LogSummary;
import org.toucanmast.core.group.Position;
import org.toucanmast.standin.database.KeyValueState.StatementException;

/** The log of one endpoint, and the key-value state after its last entry. Indexes start at 1. */
final class ReplicatedLog {
  private final List<LogEntry> entries = new ArrayList<>();
  private final Map<RequestKey, Integer> indexOfRequest = new HashMap<>();
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

  /** Returns the index of the entry of a request, if the log has it. */
  Optional<Integer> find(RequestKey request) {
    return Optional.ofNullable(indexOfRequest.get(request));
  }

  /**
   * Executes statements on the primary and appends their entry.
   *
   * @param now the current time in milliseconds since the epoch
   * @throws StatementException if a statement is invalid; then the log is unchanged
   */
  LogEntry write(long term, RequestKey request, List<String> statements, long now)
      throws StatementException {
    List<String> rows = state.run(statements);
    LogEntry entry = new LogEntry(term, request, statements, rows, now);
    append(entry);
    return entry;
  }

  /** Executes and appends an entry that was written by a primary. */
  void replicate(LogEntry entry) {
    try {
      state.run(entry.statements());
    } catch (StatementException e) {
      throw new IllegalStateException(e);
    }
    append(entry);
  }

  private void append(LogEntry entry) {
    entries.add(entry);
    indexOfRequest.put(entry.request(), entries.size());
    boolean isFirstOfTerm =
        termStarts.isEmpty() || termStarts.get(termStarts.size() - 1).term() < entry.term();
    if (isFirstOfTerm) {
      termStarts.add(new Position(entry.term(), entries.size()));
    }
  }

  /**
   * Truncates this log to the longest prefix that it has in common with the other log, and rebuilds
   * the state from it. Entries are compared by identity, because the endpoints share the objects.
   */
  void truncateToPrefixOf(ReplicatedLog other) {
    int shorterSize = Math.min(size(), other.size());
    int prefixLength = shorterSize;
    while (prefixLength > 0
        && entries.get(prefixLength - 1) != other.entries.get(prefixLength - 1)) {
      prefixLength--;
    }
    if (prefixLength == size()) {
      return;
    }
    List<LogEntry> kept = new ArrayList<>(entries.subList(0, prefixLength));
    entries.clear();
    indexOfRequest.clear();
    termStarts.clear();
    state = new KeyValueState();
    kept.forEach(this::replicate);
  }
}
