package org.toucanmast.core.group;

import java.util.List;

/**
 * Where an endpoint's log ends, and where its terms began.
 *
 * @param end the last entry
 * @param termStarts the first position of each term, oldest first
 */
public record LogSummary(Position end, List<Position> termStarts) {
  /** The summary of an empty log. */
  public static final LogSummary EMPTY = new LogSummary(Position.NONE, List.of());

  /** What a log says about a position. */
  public enum Coverage {
    /** The log holds the position. */
    COVERED,
    /** The log does not reach the position yet. */
    BEHIND,
    /** The log holds another entry there, so the position belongs to a write that was lost. */
    LOST
  }

  /** Keeps a copy of the term starts. */
  public LogSummary {
    termStarts = List.copyOf(termStarts);
  }

  /** Tells whether this log holds the given position. */
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
