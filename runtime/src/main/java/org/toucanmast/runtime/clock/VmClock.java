package org.toucanmast.runtime.clock;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.toucanmast.core.freshness.ClockReading;

/**
 * The monotonic clock of a VM, compared with the wall clock at each reading.
 *
 * <p>If the two clocks advance by different amounts, the VM was suspended or its wall clock was
 * set. Elapsed time cannot be trusted then, so listeners discard the ages of their observations.
 */
public final class VmClock {
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final LongSupplier monotonic;
  private final LongSupplier wallClock;
  private final List<Runnable> listeners = new ArrayList<>();
  private ClockReading lastReading;

  /** Creates a clock that reads the clocks of the process. */
  public VmClock() {
    this(VmClock::monotonicTime, System::currentTimeMillis);
  }

  /**
   * Creates a clock that reads the given clocks.
   *
   * @param monotonic the monotonic clock, in milliseconds
   * @param wallClock the wall clock, in milliseconds since the Unix epoch
   */
  public VmClock(LongSupplier monotonic, LongSupplier wallClock) {
    this.monotonic = monotonic;
    this.wallClock = wallClock;
    this.lastReading = new ClockReading(monotonic.getAsLong(), wallClock.getAsLong());
  }

  /** Returns the monotonic clock of the process, in milliseconds; for any thread. */
  public static long monotonicTime() {
    return System.nanoTime() / NANOSECONDS_PER_MILLISECOND;
  }

  /** Adds a listener that is called at each reading that finds the clocks in disagreement. */
  public void addDisagreementListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Returns the wall clock, in milliseconds since the Unix epoch. */
  public long wallClock() {
    return wallClock.getAsLong();
  }

  /**
   * Returns the monotonic time in milliseconds; calls the listeners first if the clocks advanced by
   * different amounts since the last reading.
   */
  public long now() {
    ClockReading reading = new ClockReading(monotonic.getAsLong(), wallClock.getAsLong());
    boolean agrees = reading.agreesSince(lastReading);
    lastReading = reading;
    if (!agrees) {
      listeners.forEach(Runnable::run);
    }
    return reading.monotonicMilliseconds();
  }
}
