package org.toucanmast.core.promotion;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The wait of a planned move for the open transactions of its group, as seen by the VM that orders
 * the move.
 *
 * <p>All VMs are asked to begin no further transaction; the move goes ahead once each of them has
 * said that it holds and has none open, or when the patience has passed: a caller that rests inside
 * a transaction must not keep an operator from moving a primary.
 */
public final class PlannedMove {
  private final long patience;
  private final Map<String, Report> reports = new HashMap<>();
  private long term;
  private long announcedAt;
  private boolean announced;

  private record Report(long term, int open) {}

  /**
   * Creates a state in which no move is planned.
   *
   * @param patience the most time that open transactions are waited for, in nanoseconds
   */
  public PlannedMove(long patience) {
    this.patience = patience;
  }

  /** Asks for the hold of a term; repeated calls for the same term change nothing. */
  public void announce(long movedTerm, long now) {
    if (announced && term == movedTerm) {
      return;
    }
    announced = true;
    term = movedTerm;
    announcedAt = now;
    reports.clear();
  }

  /** Ends the hold: the move was carried out, has failed, or is no longer wanted. */
  public void withdraw() {
    announced = false;
    reports.clear();
  }

  /** Tells whether VMs are asked to hold transactions back now. */
  public boolean isAnnounced() {
    return announced;
  }

  /** Takes in what a VM that holds says of its open transactions. */
  public void onHeld(String vm, long heldTerm, int open) {
    reports.put(vm, new Report(heldTerm, open));
  }

  /**
   * Tells whether the move may go ahead.
   *
   * @param vms the live VMs, any of which may have transactions open
   * @param now the present time, in nanoseconds
   */
  public boolean mayProceed(Set<String> vms, long now) {
    if (!announced) {
      return false;
    }
    return now - announcedAt >= patience || vms.stream().allMatch(this::isQuiet);
  }

  private boolean isQuiet(String vm) {
    Report report = reports.get(vm);
    return report != null && report.term() == term && report.open() == 0;
  }
}
