package org.toucanmast.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The running totals of what this VM's gateways started, by window and customer.
 *
 * <p>Load pattern: hundreds of statements per second, some turned away after they were sent, while
 * holders of the duty change. Totals are kept until their report is due, also when a holder has
 * confirmed them, so that the next holder can be sent them again.
 */
public final class UsageCounts {
  /**
   * Time after the end of a window at which its totals are complete: nearly all replies that turn a
   * statement away arrive within it.
   */
  private static final long COMPLETE_AFTER_IN_MILLISECONDS = 400;

  private final UsageTiming timing;
  private final TreeMap<Long, Map<String, Integer>> windows = new TreeMap<>();
  private final Set<Long> confirmed = new HashSet<>();
  private String holder = "";

  /** Creates counts that are empty. */
  public UsageCounts(UsageTiming timing) {
    this.timing = timing;
  }

  /**
   * Counts a request that is sent to an endpoint.
   *
   * @param time the time, in milliseconds since 1970
   * @return the window that it counts in
   */
  public long onStarted(String customer, long time) {
    long window = timing.windowAt(time);
    windows.computeIfAbsent(window, any -> new HashMap<>()).merge(customer, 1, Integer::sum);
    confirmed.remove(window);
    return window;
  }

  /** Takes back a request that the endpoint turned away. */
  public void onTurnedAway(String customer, long window) {
    Map<String, Integer> counts = windows.get(window);
    if (counts != null && counts.computeIfPresent(customer, (any, count) -> count - 1) != null) {
      confirmed.remove(window);
    }
  }

  /**
   * Records that a holder has the complete totals of some windows. The confirmation of a former
   * holder has no effect.
   */
  public void onConfirmed(String vm, List<Long> confirmedWindows) {
    if (vm.equals(holder)) {
      confirmedWindows.stream().filter(windows::containsKey).forEach(confirmed::add);
    }
  }

  /**
   * Returns the totals that the holder has not confirmed, and forgets those whose report is
   * overdue.
   *
   * @param newHolder the VM that they are sent to; all totals are sent again when it changes
   * @param time the time, in milliseconds since 1970
   * @param stopping whether this VM starts nothing more, so that all totals are complete
   */
  public List<WindowTotals> unconfirmed(String newHolder, long time, boolean stopping) {
    if (!newHolder.equals(holder)) {
      holder = newHolder;
      confirmed.clear();
    }
    windows.keySet().removeIf(window -> time > timing.dueAt(window));
    confirmed.retainAll(windows.keySet());
    List<WindowTotals> totals = new ArrayList<>();
    windows.forEach(
        (window, counts) -> {
          if (!confirmed.contains(window)) {
            boolean complete =
                stopping || time >= timing.endOf(window) + COMPLETE_AFTER_IN_MILLISECONDS;
            totals.add(new WindowTotals(window, counts, complete));
          }
        });
    return totals;
  }
}
