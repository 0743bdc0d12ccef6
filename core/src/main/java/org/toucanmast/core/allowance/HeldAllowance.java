package org.toucanmast.core.allowance;

import org.toucanmast.core.configuration.Allowance;

/**
 * Token bucket of one customer's allowance at the VM that holds it.
 *
 * <p>Every VM owns an equal share of the allowance and lends it to the holder from which it
 * requests tokens; a VM requests them from one holder only. Therefore the shares of all holders
 * never add up to more than the full allowance, whichever VMs can reach each other.
 */
public final class HeldAllowance {
  /**
   * Fraction of the burst that a new holder may grant immediately. The previous holder may just
   * have granted the full burst; this fraction in addition, for each of several changes of holder,
   * stays within the tolerance for a time window.
   */
  private static final double INITIAL_FRACTION = 0.1;

  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  /** Smallest fraction of an allowance, used when nothing is lent. */
  private static final double MINIMUM_FRACTION = 1e-6;

  /** Time after which unused initial tokens expire. */
  private static final long INITIAL_TOKENS_LIFETIME_IN_MILLISECONDS = 2_000;

  private final TokenBucket bucket;
  private final long initialTokensExpireAt;
  private int initialTokens;
  private boolean filledAfterRestart;

  /**
   * Creates the bucket of an allowance that was not held here before.
   *
   * @param fullAllowance the customer's allowance over all VMs
   * @param lentFraction the fraction of it that is lent to this holder, from 0 to 1
   * @param now the current time, in milliseconds
   */
  public HeldAllowance(Allowance fullAllowance, double lentFraction, long now) {
    this.bucket =
        new TokenBucket(
            lentPart(fullAllowance, lentFraction), 0, now * NANOSECONDS_PER_MILLISECOND);
    this.initialTokens = (int) (fullAllowance.burst() * INITIAL_FRACTION);
    this.initialTokensExpireAt = now + INITIAL_TOKENS_LIFETIME_IN_MILLISECONDS;
  }

  private static Allowance lentPart(Allowance fullAllowance, double lentFraction) {
    Allowance part = fullAllowance.times(Math.max(MINIMUM_FRACTION, Math.min(1, lentFraction)));
    return new Allowance(part.rate(), Math.max(1, part.burst()));
  }

  /**
   * Changes the customer's allowance or the fraction of it that is lent to this holder.
   *
   * @param fullAllowance the customer's allowance over all VMs
   * @param lentFraction the fraction that is lent, from 0 to 1
   * @param now the current time, in milliseconds
   */
  public void resize(Allowance fullAllowance, double lentFraction, long now) {
    bucket.resize(lentPart(fullAllowance, lentFraction), now * NANOSECONDS_PER_MILLISECOND);
  }

  /**
   * Adds the rest of the burst to the initial tokens, once. Meant for a restart of all VMs, during
   * which no previous holder can have granted any of it.
   *
   * @return whether the tokens were added; false after the first call
   */
  public boolean fillAfterRestart(Allowance allowance) {
    if (filledAfterRestart) {
      return false;
    }
    filledAfterRestart = true;
    initialTokens += (int) (allowance.burst() * (1 - INITIAL_FRACTION));
    return true;
  }

  /**
   * Takes tokens.
   *
   * @param count the number of requested tokens
   * @param now the current time, in milliseconds
   * @return the number of tokens taken, at most the requested number
   */
  public int take(int count, long now) {
    int taken = bucket.take(count, now * NANOSECONDS_PER_MILLISECOND);
    if (now > initialTokensExpireAt) {
      return taken;
    }
    int takenInitially = Math.min(initialTokens, count - taken);
    initialTokens -= takenInitially;
    return taken + takenInitially;
  }

  /**
   * Puts back the tokens of operations that did not run.
   *
   * @param now the current time, in milliseconds
   */
  public void putBack(int count, long now) {
    bucket.putBack(count, now * NANOSECONDS_PER_MILLISECOND);
  }
}
