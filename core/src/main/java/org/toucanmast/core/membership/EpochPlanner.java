package org.toucanmast.core.membership;

import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Plans changes to the members of the epoch.
 *
 * <p>A member is removed only when the platform no longer lists it as live, never because its
 * heartbeats are missing: a VM without heartbeats may be paused and continue to use its share.
 */
public final class EpochPlanner {
  private EpochPlanner() {}

  /**
   * Returns the members of the next epoch; empty when the members do not change or no VM is listed.
   *
   * @param current the newest epoch
   * @param listed the names of the VMs that the platform lists as live
   */
  public static Optional<SortedSet<String>> plan(Epoch current, Set<String> listed) {
    SortedSet<String> next = new TreeSet<>(listed);
    if (next.isEmpty() || next.equals(current.members())) {
      return Optional.empty();
    }
    return Optional.of(next);
  }
}
