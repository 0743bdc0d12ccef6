package org.toucanmast.core.usage;

/**
 * When usage is reported.
 *
 * @param windowInMilliseconds the length of a window of the wall clock
 * @param dueInMilliseconds the time after the end of a window at which its report is due
 * @param leaseInMilliseconds the minimum time between the reports of different holders
 */
public record UsageTiming(
    long windowInMilliseconds, long dueInMilliseconds, long leaseInMilliseconds) {
  /**
   * Creates a timing.
   *
   * @throws IllegalArgumentException when a time is not positive
   */
  public UsageTiming {
    if (windowInMilliseconds <= 0 || dueInMilliseconds <= 0 || leaseInMilliseconds <= 0) {
      throw new IllegalArgumentException(
          "times of usage reports must be positive: window "
              + windowInMilliseconds
              + ", due "
              + dueInMilliseconds
              + ", lease "
              + leaseInMilliseconds);
    }
  }

  /**
   * Returns the window that a time lies in.
   *
   * @param time the time, in milliseconds since 1970
   */
  public long windowAt(long time) {
    return Math.floorDiv(time, windowInMilliseconds);
  }

  /** Returns when a window ends, in milliseconds since 1970. */
  public long endOf(long window) {
    return (window + 1) * windowInMilliseconds;
  }

  /** Returns when the report of a window is due, in milliseconds since 1970. */
  public long dueAt(long window) {
    return endOf(window) + dueInMilliseconds;
  }
}
