package org.toucanmast.core.failover;

import org.toucanmast.core.mirror.StorePosition;

/**
 * Fencing tokens: numbers that are higher for later acquisitions of a lock, also if the store was
 * restored in between and gives revisions out again.
 */
public final class FencingTokens {
  /** Bits of a token that hold the revision; the era is above them. */
  private static final int REVISION_BITS = 40;

  /** The highest era whose tokens other systems can still read as floating-point numbers. */
  private static final long MAXIMUM_ERA = (1L << (53 - REVISION_BITS)) - 1;

  private FencingTokens() {}

  /**
   * Returns the token of an acquisition.
   *
   * @param acquired the position of the change by which the lock was acquired
   * @throws IllegalArgumentException if the position is outside of the range that tokens cover
   */
  public static long of(StorePosition acquired) {
    boolean fits =
        acquired.era() <= MAXIMUM_ERA
            && acquired.revision() >= 0
            && acquired.revision() >> REVISION_BITS == 0;
    if (!fits) {
      throw new IllegalArgumentException(
          "fencing token: expected an era up to "
              + MAXIMUM_ERA
              + " and a revision below 2^"
              + REVISION_BITS
              + " but was "
              + acquired);
    }
    return (acquired.era() << REVISION_BITS) + acquired.revision();
  }
}
