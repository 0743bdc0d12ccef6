package org.toucanmast.core.membership;

import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Decides when the epoch's members change.
 *
 * <p>A member leaves only when the platform's list says that it is gone, never because it is
 * silent: a silent VM may be paused and still use its share.
 */
public final class EpochPlanner {
  private EpochPlanner() {}

  /**
   * Returns the members of the next epoch, or empty when nothing changes.
   *
   * @param current the epoch in force
   * @param listed VMs that the platform lists as live
   */
  public static Optional<SortedSet<String>> plan(Epoch current, Set<String> listed) {
    SortedSet<String> next = new TreeSet<>(listed);
    if (next.isEmpty() || next.equals(current.members())) {
      return Optional.empty();
    }
    return Optional.of(next);
  }
}
