package org.toucanmast.core.promotion;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks, at the VM that orders a planned move, whether the open transactions of the group have
 * ended.
 *
 * <p>All VMs are asked not to begin further transactions. The move proceeds once each of them has
 * reported that it holds transactions back and has none open, or when the maximum wait has passed:
 * a caller that leaves a transaction idle must not prevent an operator from moving a primary.
 */
public final class PlannedMove {
  private final long maximumWaitNanoseconds;
  private final Map<String, Report> reports = new HashMap<>();
  private long term;
  private long announcedAt;
  private boolean announced;

  private record Report(long term, int open) {}

  /**
   * Creates an instance without a planned move.
   *
   * @param maximumWaitNanoseconds how long to wait for open transactions at most, in nanoseconds
   */
  public PlannedMove(long maximumWaitNanoseconds) {
    this.maximumWaitNanoseconds = maximumWaitNanoseconds;
  }

  /**
   * Announces the move of the primary of a term; repeated calls for the same term have no effect.
   *
   * @param now the current time, in nanoseconds
   */
  public void announce(long movedTerm, long now) {
    if (announced && term == movedTerm) {
      return;
    }
    announced = true;
    term = movedTerm;
    announcedAt = now;
    reports.clear();
  }

  /** Ends the announcement: the move was carried out, has failed, or is no longer needed. */
  public void withdraw() {
    announced = false;
    reports.clear();
  }

  /** Returns whether VMs are currently asked to hold back transactions. */
  public boolean isAnnounced() {
    return announced;
  }

  /**
   * Records the report of a VM that holds back transactions.
   *
   * @param heldTerm the term for which it holds them back
   * @param open the number of its open transactions
   */
  public void onHoldReported(String vm, long heldTerm, int open) {
    reports.put(vm, new Report(heldTerm, open));
  }

  /**
   * Returns whether the move may proceed.
   *
   * @param vms the live VMs, any of which may have open transactions
   * @param now the current time, in nanoseconds
   */
  public boolean mayProceed(Set<String> vms, long now) {
    if (!announced) {
      return false;
    }
    return now - announcedAt >= maximumWaitNanoseconds
        || vms.stream().allMatch(this::hasNoOpenTransactions);
  }

  private boolean hasNoOpenTransactions(String vm) {
    Report report = reports.get(vm);
    return report != null && report.term() == term && report.open() == 0;
  }
}
