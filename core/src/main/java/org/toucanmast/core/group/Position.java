package org.toucanmast.core.group;

/**
 * A place in a database's log.
 *
 * @param term the term of the entry at the index
 * @param index the number of the entry, from 1; 0 is the empty log
 */
public record Position(long term, long index) implements Comparable<Position> {
  /** The position before the first entry. */
  public static final Position NONE = new Position(0, 0);

  /** Refuses negative parts. */
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
