package org.toucanmast.core.configuration;

/**
 * The request rate and burst of a customer or of a public route, over all VMs together.
 *
 * @param rate the sustained rate, in requests per second
 * @param burst the number of requests that may arrive at the same moment
 */
public record Allowance(double rate, double burst) {
  /**
   * Creates an allowance.
   *
   * @throws IllegalArgumentException when the rate or the burst is not positive
   */
  public Allowance {
    if (!(rate > 0) || !(burst > 0)) {
      throw new IllegalArgumentException("rate and burst must be positive: " + rate + ", " + burst);
    }
  }

  /** Returns an allowance with rate and burst multiplied by the given positive fraction. */
  public Allowance times(double fraction) {
    return new Allowance(rate * fraction, burst * fraction);
  }
}
