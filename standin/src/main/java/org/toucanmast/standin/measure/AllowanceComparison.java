package org.toucanmast.standin.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.toucanmast.core.allowance.TokenBucket;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.standin.load.HistoryEntry;

/**
 * Compares the wrongful refusals of a recorded run with those of other ways of sharing an allowance
 * between VMs, on the same arrivals. A refusal is wrongful if one ideal token bucket would have
 * admitted the request.
 */
final class AllowanceComparison {
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

  /**
   * Wrongful refusals over all customers.
   *
   * @param arrivals the number of requests
   * @param observed wrongful refusals in the recorded run
   * @param fixedShares wrongful refusals if each VM had a fixed, equal share
   * @param borrowing wrongful refusals if an empty share could take tokens from the fullest one
   *     without delay
   */
  record Counts(long arrivals, long observed, long fixedShares, long borrowing) {}

  private AllowanceComparison() {}

  /**
   * Counts the wrongful refusals in a history.
   *
   * @param vms the number of VMs between which each allowance is shared
   * @param warmUp the time from the start of the run that is left out, in nanoseconds
   */
  static Counts of(
      List<HistoryEntry> completeHistory, Map<String, Allowance> allowances, int vms, long warmUp) {
    List<HistoryEntry> history =
        completeHistory.stream()
            .filter(entry -> entry.plannedAt() >= warmUp / NANOSECONDS_PER_MICROSECOND)
            .toList();
    long arrivals = 0;
    long observed = 0;
    long refusedByFixedShares = 0;
    long refusedWithBorrowing = 0;
    for (Map.Entry<String, Allowance> customer : allowances.entrySet()) {
      List<HistoryEntry> ownArrivals =
          history.stream()
              .filter(entry -> entry.customer().equals(customer.getKey()))
              .filter(entry -> entry.action() != HistoryEntry.Action.FINAL_READ)
              .sorted(Comparator.comparingLong(HistoryEntry::sentAt))
              .toList();
      Shares fixedShares = new Shares(customer.getValue(), vms, false);
      Shares borrowedShares = new Shares(customer.getValue(), vms, true);
      TokenBucket idealBucket =
          new TokenBucket(customer.getValue(), customer.getValue().burst(), 0);
      for (HistoryEntry entry : ownArrivals) {
        long now = entry.sentAt() * NANOSECONDS_PER_MICROSECOND;
        boolean isWithinAllowance = idealBucket.take(1, now) == 1;
        arrivals++;
        observed += isWithinAllowance && entry.code().equals("over-allowance") ? 1 : 0;
        refusedByFixedShares += !fixedShares.admits(entry.vm(), now) && isWithinAllowance ? 1 : 0;
        refusedWithBorrowing +=
            !borrowedShares.admits(entry.vm(), now) && isWithinAllowance ? 1 : 0;
      }
    }
    return new Counts(arrivals, observed, refusedByFixedShares, refusedWithBorrowing);
  }

  /**
   * Equal shares of an allowance, one for each VM. With borrowing, a VM whose share is empty takes
   * a token from the fullest share without delay.
   */
  private static final class Shares {
    private final Allowance share;
    private final boolean borrows;
    private final Map<String, TokenBucket> buckets = new TreeMap<>();
    private final int vms;

    private Shares(Allowance allowance, int vms, boolean borrows) {
      this.share = allowance.times(1.0 / vms);
      this.vms = vms;
      this.borrows = borrows;
    }

    private boolean admits(String vm, long now) {
      TokenBucket ownBucket = bucketOf(vm);
      if (ownBucket.take(1, now) == 1) {
        return true;
      }
      for (int number = buckets.size(); borrows && number < vms; number++) {
        bucketOf("unused-" + number);
      }
      return borrows
          && new ArrayList<>(buckets.values())
              .stream()
                  .max(Comparator.comparingDouble(bucket -> bucket.tokens(now)))
                  .filter(fullest -> fullest.take(1, now) == 1)
                  .isPresent();
    }

    private TokenBucket bucketOf(String vm) {
      return buckets.computeIfAbsent(vm, name -> new TokenBucket(share, share.burst(), 0));
    }
  }
}
