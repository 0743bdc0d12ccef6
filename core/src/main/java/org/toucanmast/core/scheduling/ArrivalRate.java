package org.toucanmast.core.scheduling;

/** Rate of arrivals, averaged with weights that decrease exponentially with their age. */
final class ArrivalRate {
  /** Time constant of the average: follows bursts, which last some seconds, within their start. */
  private static final double TIME_CONSTANT_IN_MILLISECONDS = 500;

  private double perMillisecond;
  private long updatedAt = Long.MIN_VALUE;

  void onArrival(long now) {
    perMillisecond = perMillisecond(now) + 1 / TIME_CONSTANT_IN_MILLISECONDS;
    updatedAt = now;
  }

  /** Returns the number of arrivals in a millisecond. */
  double perMillisecond(long now) {
    if (updatedAt == Long.MIN_VALUE) {
      return 0;
    }
    return perMillisecond * Math.exp((updatedAt - now) / TIME_CONSTANT_IN_MILLISECONDS);
  }
}
