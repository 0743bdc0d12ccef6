package org.toucanmast.core.usage;

import java.util.ArrayList;
import java.util.List;

/**
 * The content of the lock object of the usage reports.
 *
 * <p>Load pattern: holders are killed between record and report, and the store is restored from a
 * copy that lacks the latest records. Windows are recorded in ascending order, so that one number
 * tells which windows are closed for ever.
 *
 * @param vm the VM that holds the duty
 * @param process the run of that VM's process, different from all others
 * @param era the era of the store on whose state this content is based
 * @param firstWindow no window before this one may be recorded any more
 * @param released whether the holder has given the lock back after at least a lease
 * @param records the last recorded windows, the oldest first
 */
public record UsageLock(
    String vm,
    String process,
    long era,
    long firstWindow,
    boolean released,
    List<UsageRecord> records) {
  /** How many windows are kept; more than can be due at once. */
  static final int MAXIMUM_RECORDS = 6;

  /** Creates a lock with an unmodifiable copy of the latest records. */
  public UsageLock {
    int surplus = Math.max(0, records.size() - MAXIMUM_RECORDS);
    records = List.copyOf(records.subList(surplus, records.size()));
  }

  /**
   * Returns this lock with further records, all of windows that were not closed.
   *
   * @param nextWindow the first window that may be recorded later
   * @throws IllegalArgumentException if a window is closed already or not in ascending order
   */
  public UsageLock withRecords(List<UsageRecord> added, long nextWindow) {
    long open = firstWindow;
    for (UsageRecord each : added) {
      if (each.window() < open) {
        throw new IllegalArgumentException(
            "window " + each.window() + " is closed; expected " + open + " or later");
      }
      open = each.window() + 1;
    }
    List<UsageRecord> all = new ArrayList<>(records);
    all.addAll(added);
    return new UsageLock(vm, process, era, Math.max(open, nextWindow), released, all);
  }

  /** Returns this lock as its holder gives it back. */
  UsageLock release() {
    return new UsageLock(vm, process, era, firstWindow, true, records);
  }
}
