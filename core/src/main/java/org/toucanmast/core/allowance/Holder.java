package org.toucanmast.core.allowance;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.toucanmast.core.configuration.Allowance;

/**
 * The holding side of one VM: a bucket for each customer, made of the shares that are lent to it.
 *
 * <p>When a lease runs out, the bucket's rate, capacity and tokens are cut before anything is given
 * out. When a share arrives, capacity grows and no token is added. So the tokens of all VMs together
 * never exceed those of a single bucket.
 */
public final class Holder {

  /**
   * What one owner lends.
   *
   * @param until when the lease runs out, by this VM's clock, in nanoseconds
   * @param fraction the owner's part of each allowance
   * @param view decides which customers' shares come here
   */
  public record Lease(long until, double fraction, LendingView view) {}

  private final String self;
  private final long grantLife;
  private final Map<String, Lease> leases = new HashMap<>();
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  /**
   * Creates a holder to which nothing is lent.
   *
   * @param self the name of this VM
   * @param grantLife how long a token may be used after it was asked for, in nanoseconds; that much
   *     of the rate is kept back from the burst
   */
  public Holder(String self, long grantLife) {
    this.self = self;
    this.grantLife = grantLife;
  }

  /** Takes in what an owner lends; replaces what it lent before. */
  public void onLease(String owner, Lease lease) {
    leases.put(owner, lease);
  }

  /** Takes in that an owner lends nothing any more. */
  public void onWithdrawn(String owner) {
    leases.remove(owner);
  }

  /**
   * Takes tokens of a customer.
   *
   * @param allowance the customer's whole allowance
   * @return how many were taken, at most the count asked for
   */
  public int take(String customer, Allowance allowance, int count, long now) {
    double fraction = fractionOf(customer, now);
    if (fraction <= 0) {
      buckets.remove(customer);
      return 0;
    }
    return bucketOf(customer, allowance, fraction, now).take(count, now);
  }

  /** Returns how long it takes until a token is there, in nanoseconds; -1 when nothing is lent. */
  public long nanosecondsToNext(String customer, Allowance allowance, long now) {
    double fraction = fractionOf(customer, now);
    if (fraction <= 0) {
      return -1;
    }
    return bucketOf(customer, allowance, fraction, now).nanosecondsToNext(now);
  }

  /** Drops the buckets of customers that no longer exist. */
  public void retain(Predicate<String> exists) {
    buckets.keySet().removeIf(exists.negate());
  }

  /** Cuts every bucket to the leases still in force, so that a pause earns nothing. */
  public void tick(long now) {
    leases.values().removeIf(lease -> now - lease.until() >= 0);
  }

  /** Returns the part of a customer's allowance that is lent here. */
  public double fractionOf(String customer, long now) {
    double fraction = 0;
    for (Lease lease : leases.values()) {
      boolean inForce = now - lease.until() < 0;
      if (inForce && lease.view().holderOf(customer).filter(self::equals).isPresent()) {
        fraction += lease.fraction();
      }
    }
    return Math.min(1, fraction);
  }

  private TokenBucket bucketOf(String customer, Allowance allowance, double fraction, long now) {
    Allowance held = keepBack(allowance).times(fraction);
    TokenBucket bucket =
        buckets.computeIfAbsent(customer, name -> new TokenBucket(held, 0, now));
    bucket.resize(held, now);
    return bucket;
  }

  private Allowance keepBack(Allowance allowance) {
    double kept = allowance.rate() * grantLife / 1e9;
    return new Allowance(allowance.rate(), Math.max(1, allowance.burst() - kept));
  }
}
