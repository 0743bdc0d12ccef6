package org.toucanmast.core.promotion;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides whether this VM orders a promotion now.
 *
 * <p>A majority of the observers must suspect the primary of the same term, so that one VM's bad
 * link or pause orders nothing. The first observer orders at once, the others each a step later, so
 * that two orders seldom meet; when they do, each endpoint still grants a term only once.
 */
public final class PromotionDecision {
  private final long step;
  private final long reportLife;
  private final Map<String, Report> reports = new HashMap<>();
  private long agreedSince;
  private boolean agreed;

  private record Report(long term, long at) {}

  /**
   * Creates a decision for one database.
   *
   * @param step how long each later observer waits for an earlier one, in nanoseconds
   * @param reportLife how long a peer's suspicion counts, in nanoseconds
   */
  public PromotionDecision(long step, long reportLife) {
    this.step = step;
    this.reportLife = reportLife;
  }

  /** Takes in the suspicion of one observer. */
  public void onSuspicion(String observer, long term, long now) {
    reports.put(observer, new Report(term, now));
  }

  /** Takes in that an observer has no suspicion. */
  public void onNoSuspicion(String observer) {
    reports.remove(observer);
  }

  /**
   * Decides.
   *
   * @param self the name of this VM
   * @param observers all observers, first to order first
   * @param term the newest known term
   * @param now the present time, in nanoseconds
   */
  public boolean shouldOrder(String self, List<String> observers, long term, long now) {
    int rank = observers.indexOf(self);
    long suspecting = observers.stream().filter(each -> suspects(each, term, now)).count();
    if (rank < 0 || !suspects(self, term, now) || 2 * suspecting <= observers.size()) {
      agreed = false;
      return false;
    }
    if (!agreed) {
      agreed = true;
      agreedSince = now;
    }
    return now - agreedSince >= rank * step;
  }

  /** Starts the waiting anew after an order, successful or not. */
  public void onOrdered() {
    agreed = false;
    reports.clear();
  }

  private boolean suspects(String observer, long term, long now) {
    Report report = reports.get(observer);
    return report != null && report.term() >= term && now - report.at() <= reportLife;
  }
}
