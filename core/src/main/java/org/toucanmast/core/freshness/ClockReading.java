package org.toucanmast.core.freshness;

/**
 * Both clocks of a VM, read together.
 *
 * <p>The steady clock does not count the time for which a VM is suspended, and the time of day may
 * be set. Elapsed time is trusted only while both clocks agree.
 *
 * @param steadyMilliseconds the steady clock
 * @param dayMilliseconds the time of day, since the Unix epoch
 */
public record ClockReading(long steadyMilliseconds, long dayMilliseconds) {
  /** Largest disagreement that is put down to reading the clocks one after the other, in ms. */
  public static final long TOLERANCE_IN_MILLISECONDS = 60;

  /** Returns whether both clocks advanced by the same time since an earlier reading. */
  public boolean agreesSince(ClockReading earlier) {
    long steady = steadyMilliseconds - earlier.steadyMilliseconds;
    long day = dayMilliseconds - earlier.dayMilliseconds;
    return Math.abs(steady - day) <= TOLERANCE_IN_MILLISECONDS;
  }
}
