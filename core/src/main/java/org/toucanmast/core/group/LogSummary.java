package org.toucanmast.core.group;

import java.util.List;

/**
 * Summary of an endpoint's log: its end and the start of each term.
 *
 * @param end the position of the last entry
 * @param termStarts the first position of each term, oldest first
 */
public record LogSummary(Position end, List<Position> termStarts) {
  /** The summary of an empty log. */
  public static final LogSummary EMPTY = new LogSummary(Position.NONE, List.of());

  /** The relation of a log to a position. */
  public enum Coverage {
    /** The log contains the entry at the position. */
    COVERED,
    /** The log has not reached the position yet. */
    BEHIND,
    /**
     * A later term started at or before the position's index, so the position belongs to a write
     * that was lost.
     */
    LOST
  }

  /** Copies the list of term starts. */
  public LogSummary {
    termStarts = List.copyOf(termStarts);
  }

  /** Returns whether this log covers the given position; it always covers index 0. */
  public Coverage coverageOf(Position position) {
    if (position.index() == 0) {
      return Coverage.COVERED;
    }
    if (nextTermStart(position.term()) <= position.index()) {
      return Coverage.LOST;
    }
    if (end.index() < position.index()) {
      return Coverage.BEHIND;
    }
    return termAt(position.index()) == position.term() ? Coverage.COVERED : Coverage.BEHIND;
  }

  private long nextTermStart(long term) {
    return termStarts.stream()
        .filter(start -> start.term() > term)
        .mapToLong(Position::index)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private long termAt(long index) {
    long term = 0;
    for (Position start : termStarts) {
      if (start.index() <= index) {
        term = start.term();
      }
    }
    return term;
  }
}
