package org.toucanmast.core.failover;

/**
 * Estimates how long a group will remain without a primary that this VM can reach.
 *
 * <p>Admission uses the estimate for statements that arrive during an outage: in a short outage
 * they wait, in a long one they are refused on arrival.
 */
public final class OutageEstimate {
  private OutageEstimate() {}

  /**
   * Returns the expected remaining time of an outage, in milliseconds: the rest of a typical change
   * of primary, or, once the outage has lasted longer than that, the time that it has lasted so
   * far.
   *
   * @param elapsedMilliseconds how long the outage has lasted
   * @param typicalMilliseconds how long a change of primary typically takes
   */
  public static double remainingMilliseconds(
      double elapsedMilliseconds, double typicalMilliseconds) {
    return elapsedMilliseconds < typicalMilliseconds
        ? typicalMilliseconds - elapsedMilliseconds
        : elapsedMilliseconds;
  }
}
