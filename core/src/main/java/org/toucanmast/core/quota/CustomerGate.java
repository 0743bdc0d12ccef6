package org.toucanmast.core.quota;

import org.toucanmast.core.allowance.TokenBucket;
import org.toucanmast.core.configuration.Allowance;

/**
 * What one VM lets through for one customer: the customer's allowance times the VM's part of it.
 */
public final class CustomerGate {
  /** How long a part is used after it was given, in milliseconds; below a report's lifetime. */
  public static final long LEASE_IN_MILLISECONDS = 800;

  /** A VM's bucket holds at least this many requests, so that it can let one through at all. */
  private static final double SMALLEST_BURST = 1;

  /** Share of the burst in use; the rest covers parts that change while requests are under way. */
  private static final double USED_BURST = 0.8;

  /** Weight of the newest interval in the demand. */
  private static final double GAIN = 0.3;

  private static final double MILLISECONDS_PER_SECOND = 1_000;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final TokenBucket bucket;
  private Allowance allowance;
  private double share;
  private long leasedUntil = Long.MIN_VALUE;
  private int asked;
  private double demand;
  private long measuredAt;

  /** Creates a gate with an equal part of the allowance. */
  public CustomerGate(Allowance allowance, int members, long now) {
    this.allowance = allowance;
    this.share = 1.0 / Math.max(1, members);
    Allowance part = part();
    this.bucket = new TokenBucket(part, part.burst(), now * NANOSECONDS_PER_MILLISECOND);
    this.measuredAt = now;
  }

  private Allowance part() {
    double burst = Math.max(SMALLEST_BURST, allowance.burst() * share * USED_BURST);
    return new Allowance(allowance.rate() * share, burst);
  }

  /** Changes the allowance. */
  public void allow(Allowance newAllowance, long now) {
    allowance = newAllowance;
    bucket.resize(part(), now * NANOSECONDS_PER_MILLISECOND);
  }

  /** Uses a part that the keeper of the customer's allowance gave, for the lease's time. */
  public void lease(double newShare, long now) {
    share = newShare;
    leasedUntil = now + LEASE_IN_MILLISECONDS;
    bucket.resize(part(), now * NANOSECONDS_PER_MILLISECOND);
  }

  /** Falls back to an equal part when the lease has run out. */
  public void expire(int members, long now) {
    if (now >= leasedUntil) {
      share = 1.0 / Math.max(1, members);
      bucket.resize(part(), now * NANOSECONDS_PER_MILLISECOND);
    }
  }

  /** Asks for one request; returns whether it may pass. */
  public boolean admit(long now) {
    asked++;
    return bucket.take(1, now * NANOSECONDS_PER_MILLISECOND) == 1;
  }

  /** Gives back the token of a request that did not run. */
  public void putBack(long now) {
    bucket.putBack(1, now * NANOSECONDS_PER_MILLISECOND);
  }

  /** Returns the requests per second that were asked for lately, admitted or not. */
  public double measureDemand(long now) {
    long elapsed = now - measuredAt;
    if (elapsed > 0) {
      demand += GAIN * (asked * MILLISECONDS_PER_SECOND / elapsed - demand);
      asked = 0;
      measuredAt = now;
    }
    return demand;
  }
}
