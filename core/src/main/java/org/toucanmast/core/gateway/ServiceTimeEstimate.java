package org.toucanmast.core.gateway;

/** Moving average and deviation of an endpoint's service time for a statement. */
public final class ServiceTimeEstimate {
  /** Weight of a new sample in the mean, as for the smoothed round-trip time in RFC 6298. */
  private static final double GAIN = 1.0 / 8;

  /** Weight of a new sample in the deviation, as in RFC 6298. */
  private static final double DEVIATION_GAIN = 1.0 / 4;

  /** Number of deviations from the mean to the upper estimate, as in RFC 6298. */
  private static final double DEVIATION_MULTIPLIER = 4;

  private double mean;
  private double deviation;

  /**
   * Creates an estimate without samples.
   *
   * @param initialMilliseconds the mean before the first sample; its half is the initial deviation
   */
  public ServiceTimeEstimate(double initialMilliseconds) {
    this.mean = initialMilliseconds;
    this.deviation = initialMilliseconds / 2;
  }

  /** Adds the service time of one statement. */
  public void observe(double milliseconds) {
    deviation += DEVIATION_GAIN * (Math.abs(milliseconds - mean) - deviation);
    mean += GAIN * (milliseconds - mean);
  }

  /** Returns the mean service time, in milliseconds. */
  public double mean() {
    return mean;
  }

  /** Returns an upper estimate that few statements exceed, in milliseconds. */
  public double upperEstimate() {
    return mean + DEVIATION_MULTIPLIER * deviation;
  }
}
