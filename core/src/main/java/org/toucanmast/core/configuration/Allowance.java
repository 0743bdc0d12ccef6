package org.toucanmast.core.configuration;

/**
 * What a customer may send, over all VMs together.
 *
 * @param rate requests per second
 * @param burst requests that may come at once
 */
public record Allowance(double rate, double burst) {
  /** Refuses values that are not positive. */
  public Allowance {
    if (!(rate > 0) || !(burst > 0)) {
      throw new IllegalArgumentException("rate and burst must be positive: " + rate + ", " + burst);
    }
  }

  /** Returns the given fraction of this allowance. */
  public Allowance times(double fraction) {
    return new Allowance(rate * fraction, burst * fraction);
  }
}
