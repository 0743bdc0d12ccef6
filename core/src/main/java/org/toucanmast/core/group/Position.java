package org.toucanmast.core.group;

/**
 * A position in a database's log.
 *
 * @param term the term of the log entry
 * @param index the index of the log entry, starting at 1; 0 stands for the empty log
 */
public record Position(long term, long index) implements Comparable<Position> {
  /** The position before the first entry. */
  public static final Position NONE = new Position(0, 0);

  /**
   * Checks that no component is negative.
   *
   * @throws IllegalArgumentException when the term or the index is negative
   */
  public Position {
    if (term < 0 || index < 0) {
      throw new IllegalArgumentException("position must not be negative: " + term + "/" + index);
    }
  }

  /** Orders by term, then by index. */
  @Override
  public int compareTo(Position other) {
    int byTerm = Long.compare(term, other.term);
    return byTerm != 0 ? byTerm : Long.compare(index, other.index);
  }

  /** Returns the later of two positions. */
  public Position maximum(Position other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
