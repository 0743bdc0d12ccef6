package org.toucanmast.core.request;

/**
 * Limits repeated sendings to a fraction of first sendings, so that retries cannot double the load
 * of a database that is already failing.
 */
public final class RetryBudget {
  private final double fraction;
  private final double capacity;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param fraction repeats earned by each first sending
   * @param capacity the most repeats that can be saved up
   */
  public RetryBudget(double fraction, double capacity) {
    this.fraction = fraction;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /** Notes a first sending. */
  public void earn() {
    tokens = Math.min(capacity, tokens + fraction);
  }

  /** Takes one repeat; returns false when none is left. */
  public boolean trySpend() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
