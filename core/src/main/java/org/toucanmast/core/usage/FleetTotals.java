package org.toucanmast.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The running totals that VMs have sent to this VM, by window and by run of a VM.
 *
 * <p>Load pattern: totals arrive repeatedly, late, and from VMs that restart within a window. The
 * totals of a run replace its earlier ones, and the runs of a VM add up.
 */
public final class FleetTotals {
  /** How far ahead of this VM's time the windows of a peer may be. */
  private static final long MAXIMUM_WINDOWS_AHEAD = 2;

  private final UsageTiming timing;
  private final TreeMap<Long, Map<Run, WindowTotals>> windows = new TreeMap<>();

  private record Run(String vm, long incarnation) {}

  /** Creates totals that are empty. */
  public FleetTotals(UsageTiming timing) {
    this.timing = timing;
  }

  /**
   * Records the totals of a run of a VM.
   *
   * @param incarnation differs in each run of the VM's process
   * @param time the time, in milliseconds since 1970
   */
  public void onTotals(String vm, long incarnation, WindowTotals totals, long time) {
    long window = totals.window();
    if (window > timing.windowAt(time) + MAXIMUM_WINDOWS_AHEAD || time > timing.dueAt(window)) {
      return;
    }
    windows.computeIfAbsent(window, any -> new HashMap<>()).put(new Run(vm, incarnation), totals);
  }

  /** Forgets the windows whose reports are overdue. */
  public void forgetOverdue(long time) {
    windows.keySet().removeIf(window -> time > timing.dueAt(window));
  }

  /** Returns whether the latest totals of each run that has sent some for a window are complete. */
  public boolean isComplete(long window) {
    Map<Run, WindowTotals> runs = windows.getOrDefault(window, Map.of());
    return runs.values().stream().allMatch(WindowTotals::complete);
  }

  /** Returns the VMs whose latest totals of a window are not complete. */
  public SortedSet<String> incompleteVms(long window) {
    SortedSet<String> incomplete = new TreeSet<>();
    windows
        .getOrDefault(window, Map.of())
        .forEach(
            (run, totals) -> {
              if (!totals.complete()) {
                incomplete.add(run.vm());
              }
            });
    return incomplete;
  }

  /** Returns the counts of a window by customer; customers without requests are absent. */
  public SortedMap<String, Integer> counts(long window) {
    SortedMap<String, Integer> sums = new TreeMap<>();
    windows
        .getOrDefault(window, Map.of())
        .values()
        .forEach(
            totals ->
                totals
                    .counts()
                    .forEach((customer, count) -> sums.merge(customer, count, Integer::sum)));
    sums.values().removeIf(count -> count <= 0);
    return sums;
  }
}
