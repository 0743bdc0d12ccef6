package org.toucanmast.core.gateway;

/** How long an endpoint takes for a statement, from what it did lately. */
public final class ServiceTimes {
  /** Weight of a new sample, as in the smoothed round-trip time of RFC 6298. */
  private static final double GAIN = 1.0 / 8;

  /** Weight of a new deviation, as in RFC 6298. */
  private static final double DEVIATION_GAIN = 1.0 / 4;

  /** Multiples of the deviation above the mean that are still usual, as in RFC 6298. */
  private static final double DEVIATIONS = 4;

  private double mean;
  private double deviation;

  /**
   * Starts from a first guess.
   *
   * @param guessInMilliseconds used until there are samples
   */
  public ServiceTimes(double guessInMilliseconds) {
    this.mean = guessInMilliseconds;
    this.deviation = guessInMilliseconds / 2;
  }

  /** Adds what one statement took. */
  public void observe(double milliseconds) {
    deviation += DEVIATION_GAIN * (Math.abs(milliseconds - mean) - deviation);
    mean += GAIN * (milliseconds - mean);
  }

  /** Returns the usual time, in milliseconds. */
  public double mean() {
    return mean;
  }

  /** Returns a time that few statements exceed, in milliseconds. */
  public double high() {
    return mean + DEVIATIONS * deviation;
  }
}
