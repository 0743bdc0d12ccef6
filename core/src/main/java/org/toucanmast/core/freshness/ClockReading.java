package org.toucanmast.core.freshness;

/**
 * A simultaneous reading of the monotonic clock and the wall clock of a VM.
 *
 * <p>The monotonic clock does not advance while a VM is suspended, and the wall clock may be set.
 * Elapsed time is trusted only while both clocks advance equally.
 *
 * @param steadyMilliseconds the monotonic clock, from an arbitrary origin
 * @param wallClockMilliseconds the wall clock, since the Unix epoch
 */
public record ClockReading(long monotonicMilliseconds, long wallClockMilliseconds) {
  /** Largest difference that is attributed to reading the two clocks one after the other. */
  public static final long TOLERANCE_IN_MILLISECONDS = 60;

  /** Returns whether both clocks advanced by the same time since an earlier reading. */
  public boolean agreesSince(ClockReading earlier) {
    long monotonicElapsed = monotonicMilliseconds - earlier.monotonicMilliseconds;
    long wallElapsed = wallClockMilliseconds - earlier.wallClockMilliseconds;
    return Math.abs(monotonicElapsed - wallElapsed) <= TOLERANCE_IN_MILLISECONDS;
  }
}
