package org.toucanmast.core.quota;

import org.toucanmast.core.allowance.TokenBucket;
import org.toucanmast.core.configuration.Allowance;

/**
 * One customer's allowance at the VM that keeps it for others.
 *
 * <p>Every VM owns an equal part and lends it to the keeper that it asks; a VM asks one keeper
 * only. So the parts that all keepers hold never add up to more than the whole, whichever VMs reach
 * each other.
 */
public final class KeptAllowance {
  /**
   * Part of the burst that a new keeper has at once. An earlier keeper may just have given out the
   * whole burst; this much more, for each of several changes, stays within the tolerance on a
   * window.
   */
  private static final double FIRST_TOKENS = 0.1;

  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  /** The smallest part of an allowance; stands for none. */
  private static final double SMALLEST_PART = 1e-6;

  /** First tokens that are not used within this time are lost, in milliseconds. */
  private static final long FIRST_TOKENS_LIFE_IN_MILLISECONDS = 2_000;

  private final TokenBucket bucket;
  private final long firstUntil;
  private int first;
  private boolean whole;

  /**
   * Creates an allowance that was not kept here before.
   *
   * @param lent the part that is lent to this keeper, from 0 to 1
   */
  public KeptAllowance(Allowance whole, double lent, long now) {
    this.bucket = new TokenBucket(part(whole, lent), 0, now * NANOSECONDS_PER_MILLISECOND);
    this.first = (int) (whole.burst() * FIRST_TOKENS);
    this.firstUntil = now + FIRST_TOKENS_LIFE_IN_MILLISECONDS;
  }

  private static Allowance part(Allowance whole, double lent) {
    Allowance part = whole.times(Math.max(SMALLEST_PART, Math.min(1, lent)));
    return new Allowance(part.rate(), Math.max(1, part.burst()));
  }

  /** Follows a change of the allowance, or of the part that is lent. */
  public void resize(Allowance whole, double lent, long now) {
    bucket.resize(part(whole, lent), now * NANOSECONDS_PER_MILLISECOND);
  }

  /**
   * Gives the rest of the burst, once: the whole fleet has just started, so that no earlier keeper
   * has given any of it out while it was down. Returns whether this was that once.
   */
  public boolean fillAfterRestart(Allowance allowance) {
    if (whole) {
      return false;
    }
    whole = true;
    first += (int) (allowance.burst() * (1 - FIRST_TOKENS));
    return true;
  }

  /** Takes tokens; returns how many were taken. */
  public int take(int count, long now) {
    int taken = bucket.take(count, now * NANOSECONDS_PER_MILLISECOND);
    if (now > firstUntil) {
      return taken;
    }
    int more = Math.min(first, count - taken);
    first -= more;
    return taken + more;
  }

  /** Puts back the tokens of operations that did not run. */
  public void putBack(int count, long now) {
    bucket.putBack(count, now * NANOSECONDS_PER_MILLISECOND);
  }
}
