package org.toucanmast.core.request;

/**
 * Limits retries to a fraction of first attempts, so that retries cannot double the load of a
 * database that is already failing.
 */
public final class RetryBudget {
  private final double fraction;
  private final double capacity;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param fraction the number of retries that each first attempt adds to the budget
   * @param capacity the maximum number of retries in the budget
   */
  public RetryBudget(double fraction, double capacity) {
    this.fraction = fraction;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /** Records a first attempt. */
  public void recordFirstAttempt() {
    tokens = Math.min(capacity, tokens + fraction);
  }

  /** Takes one retry from the budget; returns false when it is exhausted. */
  public boolean tryTakeRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
