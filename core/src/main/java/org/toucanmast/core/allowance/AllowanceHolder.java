package org.toucanmast.core.allowance;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.toucanmast.core.configuration.Allowance;

/**
 * The token buckets that one VM holds, one for each customer, sized by the shares that are lent to
 * it.
 *
 * <p>When a lease expires, the bucket's rate, capacity and tokens are reduced before any token is
 * granted. When a share is added, the capacity grows but no tokens are added. Therefore all VMs
 * together never grant more tokens than a single bucket would.
 */
public final class AllowanceHolder {

  /**
   * The lease of one owner's shares.
   *
   * @param expiresAt when the lease expires by this VM's clock, in nanoseconds
   * @param fraction the owner's share of each allowance, from 0 to 1
   * @param view the lending view that determines for which customers this VM is the holder
   */
  public record Lease(long expiresAt, double fraction, LendingView view) {}

  private record HeldBucket(Allowance fullAllowance, TokenBucket bucket) {}

  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final String self;
  private final long grantLifetimeNanoseconds;
  private final Map<String, Lease> leases = new HashMap<>();
  private final Map<String, HeldBucket> buckets = new HashMap<>();
  private final Map<String, Double> fractions = new HashMap<>();
  private long unchangedSince;

  /**
   * Creates a holder without leases.
   *
   * @param self the name of this VM
   * @param grantLifetimeNanoseconds how long a token may be used after it was requested, in
   *     nanoseconds; the tokens that accrue in this time are subtracted from the burst
   */
  public AllowanceHolder(String self, long grantLifetimeNanoseconds) {
    this.self = self;
    this.grantLifetimeNanoseconds = grantLifetimeNanoseconds;
  }

  /**
   * Records an owner's lease, which replaces its previous one.
   *
   * @param now the current time, in nanoseconds
   */
  public void onLease(String owner, Lease lease, long now) {
    expire(now);
    Lease previous = leases.put(owner, lease);
    boolean isUnchanged =
        previous != null
            && previous.fraction() == lease.fraction()
            && previous.view().equals(lease.view());
    if (!isUnchanged) {
      resizeBuckets(now);
    }
    expire(now);
  }

  /**
   * Records that an owner has withdrawn its lease.
   *
   * @param now the current time, in nanoseconds
   */
  public void onLeaseWithdrawn(String owner, long now) {
    expire(now);
    if (leases.remove(owner) != null) {
      resizeBuckets(now);
    }
  }

  /**
   * Takes tokens from a customer's bucket.
   *
   * @param allowance the customer's full allowance over all VMs
   * @param count the number of requested tokens
   * @param now the current time, in nanoseconds
   * @return the number of tokens taken, at most the requested number
   */
  public int take(String customer, Allowance allowance, int count, long now) {
    double fraction = fractionOf(customer, now);
    return fraction <= 0 ? 0 : bucketOf(customer, allowance, fraction, now).take(count, now);
  }

  /**
   * Puts unused tokens back into a customer's bucket; without effect when this VM holds none.
   *
   * @param now the current time, in nanoseconds
   */
  public void putBack(String customer, int count, long now) {
    expire(now);
    HeldBucket held = buckets.get(customer);
    if (held != null && count > 0) {
      held.bucket().putBack(count, now);
    }
  }

  /**
   * Removes the buckets of customers that no longer exist.
   *
   * @param now the current time, in nanoseconds
   */
  public void retainCustomers(Predicate<String> exists, long now) {
    fractions.keySet().removeIf(exists.negate());
    if (buckets.keySet().removeIf(exists.negate())) {
      unchangedSince = now;
    }
  }

  /**
   * Removes expired leases. Taking tokens does the same first, so that nothing is granted from an
   * expired lease after a pause of this VM.
   *
   * @param now the current time, in nanoseconds
   */
  public void tick(long now) {
    expire(now);
  }

  /**
   * Returns the fraction of a customer's allowance that is lent to this VM, from 0 to 1.
   *
   * @param now the current time, in nanoseconds
   */
  public double fractionOf(String customer, long now) {
    expire(now);
    return fractions.computeIfAbsent(customer, this::sumOfLeases);
  }

  private double sumOfLeases(String customer) {
    double fraction = 0;
    for (Lease lease : leases.values()) {
      if (lease.view().holderOf(customer).filter(self::equals).isPresent()) {
        fraction += lease.fraction();
      }
    }
    return Math.min(1, fraction);
  }

  private void expire(long now) {
    if (leases.values().removeIf(lease -> now - lease.expiresAt() >= 0)) {
      resizeBuckets(now);
    }
  }

  /** Resizes every bucket to the current leases. This may remove tokens but never adds any. */
  private void resizeBuckets(long now) {
    unchangedSince = now;
    fractions.clear();
    buckets
        .entrySet()
        .removeIf(
            entry -> {
              double fraction = sumOfLeases(entry.getKey());
              if (fraction > 0) {
                HeldBucket held = entry.getValue();
                held.bucket().resize(withReserve(held.fullAllowance()).times(fraction), now);
              }
              return fraction <= 0;
            });
  }

  /**
   * Returns the bucket of a customer. A new bucket is filled for the time since the last change of
   * the leases, because its shares were lent to this VM throughout.
   */
  private TokenBucket bucketOf(
      String customer, Allowance fullAllowance, double fraction, long now) {
    HeldBucket held = buckets.get(customer);
    if (held == null) {
      Allowance part = withReserve(fullAllowance).times(fraction);
      held = new HeldBucket(fullAllowance, new TokenBucket(part, 0, unchangedSince));
      buckets.put(customer, held);
    } else if (!held.fullAllowance().equals(fullAllowance)) {
      held = new HeldBucket(fullAllowance, held.bucket());
      held.bucket().resize(withReserve(fullAllowance).times(fraction), now);
      buckets.put(customer, held);
    }
    return held.bucket();
  }

  /** Reduces the burst by the tokens that accrue while a granted token may still be used. */
  private Allowance withReserve(Allowance allowance) {
    double reserved = allowance.rate() * grantLifetimeNanoseconds / NANOSECONDS_PER_SECOND;
    return new Allowance(allowance.rate(), Math.max(1, allowance.burst() - reserved));
  }
}
