package org.toucanmast.core.usage;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The time for windows: the steady clock plus an offset, the median of the wall clocks of this VM
 * and its neighbours.
 *
 * <p>Load pattern: the wall clocks of some VMs are off or jump by seconds, also backwards, and
 * messages take some milliseconds. Neighbours exchange their wall clocks and not the medians: if
 * medians were exchanged, the time of the whole fleet would fall behind by the delay of a message
 * with each exchange.
 */
public final class FleetTime {
  /** Several heartbeat intervals; a neighbour that is silent for longer has no vote. */
  private static final long VOTE_LIFETIME_IN_MILLISECONDS = 3_000;

  private final Map<String, Vote> votes = new HashMap<>();

  private record Vote(long offset, long receivedAt) {}

  /**
   * Records the wall clock of a neighbour.
   *
   * @param wallClock the neighbour's wall clock, in milliseconds since 1970
   * @param now the steady clock, in milliseconds
   */
  public void onNeighbour(String vm, long wallClock, long now) {
    votes.put(vm, new Vote(wallClock - now, now));
  }

  /**
   * Returns the time, in milliseconds since 1970. Of an even number of clocks, it lies in the
   * middle between the two middle ones.
   *
   * @param wallClock the wall clock of this VM, in milliseconds since 1970
   * @param now the steady clock, in milliseconds
   */
  public long at(long wallClock, long now) {
    votes.values().removeIf(vote -> now - vote.receivedAt() > VOTE_LIFETIME_IN_MILLISECONDS);
    long[] offsets = new long[votes.size() + 1];
    offsets[0] = wallClock - now;
    int count = 1;
    for (Vote vote : votes.values()) {
      offsets[count++] = vote.offset();
    }
    Arrays.sort(offsets);
    long lower = offsets[(count - 1) / 2];
    long upper = offsets[count / 2];
    return now + lower + (upper - lower) / 2;
  }

  /** Returns the number of neighbours whose clocks have been used lately. */
  public int neighbours() {
    return votes.size();
  }
}
