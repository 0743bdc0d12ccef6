package org.toucanmast.core.gateway;

/**
 * Decides whether a gateway runs a read on a replica in its own data centre, instead of leaving it
 * to the gateway of the group.
 *
 * <p>Load pattern: most statements are reads, callers enter in every data centre, and each data
 * centre has a replica. Read nearby, statement and answer cross to no other data centre. When the
 * nearby replica is full, lags or fails, its reads go to the group's gateway, which can use all
 * endpoints.
 *
 * @param replicaUsable whether a replica in the data centre is reachable and accepts work
 * @param expectedWaitMilliseconds the expected time until the read could start there
 */
public record NearbyRead(boolean replicaUsable, double expectedWaitMilliseconds) {
  /**
   * A read that would wait longer goes to the group's gateway: the way there and back takes a few
   * milliseconds, and another endpoint may be free.
   */
  private static final double MAXIMUM_WAIT_IN_MILLISECONDS = 20;

  /** Returns whether the read runs on a replica in the data centre. */
  public boolean runsNearby() {
    return replicaUsable && expectedWaitMilliseconds <= MAXIMUM_WAIT_IN_MILLISECONDS;
  }
}
