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
}
