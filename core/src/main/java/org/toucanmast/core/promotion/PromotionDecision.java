package org.toucanmast.core.promotion;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides whether this VM orders a promotion now.
 *
 * <p>A majority of the observers must suspect the primary of the same term, so that a bad link or a
 * pause of a single VM does not cause a promotion. The first observer orders at once and each
 * further one a delay later, which makes concurrent orders rare; if they occur, each endpoint still
 * grants a term only once.
 */
public final class PromotionDecision {
  private final long delayPerRankNanoseconds;
  private final long reportLifetimeNanoseconds;
  private final Map<String, Report> reports = new HashMap<>();
  private long majoritySince;
  private boolean hasMajority;

  private record Report(long term, long at) {}

  /**
   * Creates a decision for one database.
   *
   * @param delayPerRankNanoseconds how long each observer waits for the one before it, in
   *     nanoseconds
   * @param reportLifetimeNanoseconds how long a reported suspicion is valid, in nanoseconds
   */
  public PromotionDecision(long delayPerRankNanoseconds, long reportLifetimeNanoseconds) {
    this.delayPerRankNanoseconds = delayPerRankNanoseconds;
    this.reportLifetimeNanoseconds = reportLifetimeNanoseconds;
  }

  /**
   * Records that an observer suspects the primary of a term.
   *
   * @param now the current time, in nanoseconds
   */
  public void onSuspicion(String observer, long term, long now) {
    reports.put(observer, new Report(term, now));
  }

  /** Records that an observer does not suspect the primary. */
  public void onNoSuspicion(String observer) {
    reports.remove(observer);
  }

  /**
   * Returns whether this VM should order a promotion now; always false when it is not an observer.
   *
   * @param self the name of this VM
   * @param observers all observers, in the order in which they may order a promotion
   * @param term the newest known term
   * @param now the current time, in nanoseconds
   */
  public boolean shouldOrder(String self, List<String> observers, long term, long now) {
    int rank = observers.indexOf(self);
    long suspectingCount = observers.stream().filter(each -> suspects(each, term, now)).count();
    if (rank < 0 || !suspects(self, term, now) || 2 * suspectingCount <= observers.size()) {
      hasMajority = false;
      return false;
    }
    if (!hasMajority) {
      hasMajority = true;
      majoritySince = now;
    }
    return now - majoritySince >= rank * delayPerRankNanoseconds;
  }

  /** Discards all suspicions after an order, whether it succeeded or failed. */
  public void onOrdered() {
    hasMajority = false;
    reports.clear();
  }

  private boolean suspects(String observer, long term, long now) {
    Report report = reports.get(observer);
    return report != null
        && report.term() >= term
        && now - report.at() <= reportLifetimeNanoseconds;
  }
}
