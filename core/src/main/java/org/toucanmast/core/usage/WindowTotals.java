package org.toucanmast.core.usage;

import java.util.Map;

/**
 * The running totals of one run of a VM for one window.
 *
 * @param window the number of the window
 * @param counts the requests by customer that endpoints began to run
 * @param complete whether the window has ended for the VM and the counts do not change any more
 */
public record WindowTotals(long window, Map<String, Integer> counts, boolean complete) {
  /** Creates totals with an unmodifiable copy of the counts. */
  public WindowTotals {
    counts = Map.copyOf(counts);
  }
}
