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
   * @param tokens the tokens at the start, cut to the capacity
   * @param now the present time, in nanoseconds
   */
  public TokenBucket(Allowance allowance, double tokens, long now) {
    this.allowance = allowance;
    this.tokens = Math.min(tokens, allowance.burst());
    this.refilledAt = now;
  }

  /** Changes rate and capacity; tokens above the new capacity are lost, and none are added. */
  public void resize(Allowance newAllowance, long now) {
    if (newAllowance.equals(allowance)) {
      return;
    }
    boolean smaller = newAllowance.rate() < allowance.rate();
    Allowance before = allowance;
    allowance = smaller ? newAllowance : before;
    refill(now);
    allowance = newAllowance;
    tokens = Math.min(tokens, allowance.burst());
  }

  /** Takes up to the given number of whole tokens; returns how many were taken. */
  public int take(int count, long now) {
    refill(now);
    int taken = (int) Math.max(0, Math.min(count, Math.floor(tokens)));
    tokens -= taken;
    return taken;
  }

  /** Puts tokens back that were taken and not used; those above the capacity are lost. */
  public void putBack(int count, long now) {
    refill(now);
    tokens = Math.min(allowance.burst(), tokens + count);
  }

  /** Returns the tokens that are there. */
  public double tokens(long now) {
    refill(now);
    return tokens;
  }

  private void refill(long now) {
    long elapsed = now - refilledAt;
    if (elapsed <= 0) {
      return;
    }
    double earned = elapsed / NANOSECONDS_PER_SECOND * allowance.rate();
    tokens = Math.min(allowance.burst(), tokens + earned);
    refilledAt = now;
  }
}
