package org.toucanmast.runtime.clock;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.toucanmast.core.freshness.ClockReading;

/**
 * The steady clock, checked against the time of day at each reading.
 *
 * <p>When the two advance differently, the VM was suspended or its time of day was set; listeners
 * then drop what they know only by its age.
 */
public final class VmClock {
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final LongSupplier steady;
  private final LongSupplier day;
  private final List<Runnable> listeners = new ArrayList<>();
  private ClockReading last;

  /** Creates a clock over the process's own clocks. */
  public VmClock() {
    this(() -> System.nanoTime() / NANOSECONDS_PER_MILLISECOND, System::currentTimeMillis);
  }

  /** Creates a clock over the given clocks, both in milliseconds. */
  public VmClock(LongSupplier steady, LongSupplier day) {
    this.steady = steady;
    this.day = day;
    this.last = new ClockReading(steady.getAsLong(), day.getAsLong());
  }

  /** Calls the listener each time elapsed time cannot be trusted. */
  public void onDisagreement(Runnable listener) {
    listeners.add(listener);
  }

  /** Returns the steady time in milliseconds. */
  public long now() {
    ClockReading reading = new ClockReading(steady.getAsLong(), day.getAsLong());
    boolean agrees = reading.agreesSince(last);
    last = reading;
    if (!agrees) {
      listeners.forEach(Runnable::run);
    }
    return reading.monotonicMilliseconds();
  }
}
