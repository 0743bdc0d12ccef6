package org.toucanmast.core.routing;

/**
 * The freshness that a read requires.
 *
 * @param maximumAge the maximum accepted age of the data, in nanoseconds; -1 when none was stated
 */
public record ReadFreshness(long maximumAge) {
  /** Requires the session's own position, without a stated age. */
  public static final ReadFreshness OF_SESSION = new ReadFreshness(-1);

  /** Returns whether the caller stated a maximum accepted age. */
  public boolean acceptsAge() {
    return maximumAge >= 0;
  }
}
