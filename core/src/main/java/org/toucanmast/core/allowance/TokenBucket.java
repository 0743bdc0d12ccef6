package org.toucanmast.core.allowance;

import org.toucanmast.core.configuration.Allowance;

/** A token bucket whose rate and capacity can change. */
public final class TokenBucket {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private Allowance allowance;
  private double tokens;
  private long refilledAt;

  /**
   * Creates a bucket.
   *
   * @param allowance the rate and the capacity
   * @param tokens the initial number of tokens, limited to the capacity
   * @param now the current time, in nanoseconds
   */
  public TokenBucket(Allowance allowance, double tokens, long now) {
    this.allowance = allowance;
    this.tokens = Math.min(tokens, allowance.burst());
    this.refilledAt = now;
  }

  /**
   * Changes the rate and the capacity. Tokens above the new capacity are lost, and the change
   * itself adds none; the time since the last refill counts at the lower of the two rates.
   *
   * @param now the current time, in nanoseconds
   */
  public void resize(Allowance newAllowance, long now) {
    if (newAllowance.equals(allowance)) {
      return;
    }
    boolean isRateReduced = newAllowance.rate() < allowance.rate();
    Allowance previousAllowance = allowance;
    allowance = isRateReduced ? newAllowance : previousAllowance;
    refill(now);
    allowance = newAllowance;
    tokens = Math.min(tokens, allowance.burst());
  }

  /**
   * Takes up to the given number of tokens.
   *
   * @param now the current time, in nanoseconds
   * @return the number of tokens taken
   */
  public int take(int count, long now) {
    refill(now);
    int taken = (int) Math.max(0, Math.min(count, Math.floor(tokens)));
    tokens -= taken;
    return taken;
  }

  /**
   * Puts back tokens that were taken but not used; those above the capacity are lost.
   *
   * @param now the current time, in nanoseconds
   */
  public void putBack(int count, long now) {
    refill(now);
    tokens = Math.min(allowance.burst(), tokens + count);
  }

  /**
   * Returns the number of available tokens, including fractions.
   *
   * @param now the current time, in nanoseconds
   */
  public double tokens(long now) {
    refill(now);
    return tokens;
  }

  private void refill(long now) {
    long elapsedNanoseconds = now - refilledAt;
    if (elapsedNanoseconds <= 0) {
      return;
    }
    double earned = elapsedNanoseconds / NANOSECONDS_PER_SECOND * allowance.rate();
    tokens = Math.min(allowance.burst(), tokens + earned);
    refilledAt = now;
  }
}
