package org.toucanmast.core.mirror;

import java.util.Comparator;

/**
 * A position in the history of the store.
 *
 * <p>Revisions increase with each change, but only within an era: a store that is restored from an
 * old copy begins a new era, goes back to an earlier revision and gives the later ones out again.
 *
 * @param era the number of the history, which rises each time the store is restored; 0 if the store
 *     does not report eras
 * @param revision the store's revision within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
  /** The position of a mirror that has no objects yet; before all others. */
  public static final StorePosition NONE = new StorePosition(0, -1);

  /** Bits of a number that hold the revision; the era is above them. */
  private static final int REVISION_BITS = 40;

  /** The highest era whose numbers other systems can still read as floating-point numbers. */
  private static final long MAXIMUM_ERA_OF_NUMBER = (1L << (53 - REVISION_BITS)) - 1;

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if the era is negative or the revision is below -1
   */
  public StorePosition {
    if (era < 0 || revision < -1) {
      throw new IllegalArgumentException(
          "position in the store: expected era >= 0 and revision >= -1 but was "
              + era
              + " and "
              + revision);
    }
  }

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether this position is later than another, in a later era or in the same one. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /**
   * Returns a number that is higher for later positions, for fencing tokens and other places where
   * a single number is needed. Positions of era 0 have their revision as number.
   *
   * @throws IllegalArgumentException if the position is outside of the range of such numbers
   */
  public long toNumber() {
    boolean fits = era <= MAXIMUM_ERA_OF_NUMBER && revision >= 0 && revision >> REVISION_BITS == 0;
    if (!fits) {
      throw new IllegalArgumentException(
          "number of a position: expected an era up to "
              + MAXIMUM_ERA_OF_NUMBER
              + " and a revision from 0 to below 2^"
              + REVISION_BITS
              + " but was "
              + this);
    }
    return (era << REVISION_BITS) + revision;
  }

  /** Returns the position that has a number. */
  public static StorePosition ofNumber(long number) {
    return new StorePosition(number >> REVISION_BITS, number & ((1L << REVISION_BITS) - 1));
  }
}
