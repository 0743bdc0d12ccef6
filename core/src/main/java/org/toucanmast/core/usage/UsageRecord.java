package org.toucanmast.core.usage;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The counts that were recorded for a window; only these may ever be reported for it.
 *
 * @param window the number of the window
 * @param counts the requests by customer
 */
public record UsageRecord(long window, SortedMap<String, Integer> counts) {
  /** Creates a record with an unmodifiable copy of the counts. */
  public UsageRecord {
    counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
  }
}
