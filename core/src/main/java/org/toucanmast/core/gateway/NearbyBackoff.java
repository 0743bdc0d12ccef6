package org.toucanmast.core.gateway;

/**
 * Decides whether the reads of a group are sent to the nearby gateway first.
 *
 * <p>Load pattern: replicas lag or are full for seconds, and the nearby gateway passes most reads
 * on. Each of these would make a detour and cost both VMs processor time, so reads go to the
 * group's gateway directly for a while, longer after each further detour.
 */
public final class NearbyBackoff {
  private static final long INITIAL_BACKOFF_IN_MILLISECONDS = 25;

  /** Upper limit, so that reads are nearby again within a second of the replica's recovery. */
  private static final long MAXIMUM_BACKOFF_IN_MILLISECONDS = 800;

  private long backoffMilliseconds = INITIAL_BACKOFF_IN_MILLISECONDS;
  private long avoidedUntil = Long.MIN_VALUE;

  /**
   * Returns whether a read is sent to the nearby gateway.
   *
   * @param now the current time, in milliseconds
   */
  public boolean mayTry(long now) {
    return now >= avoidedUntil;
  }

  /**
   * Records that the nearby gateway has passed a read on.
   *
   * @param sentAt when the read was sent to it, in milliseconds; reads that were sent before an
   *     earlier one was passed on count with that one
   * @param now the current time, in milliseconds
   */
  public void onPassedOn(long sentAt, long now) {
    if (sentAt < avoidedUntil) {
      return;
    }
    avoidedUntil = now + backoffMilliseconds;
    backoffMilliseconds = Math.min(MAXIMUM_BACKOFF_IN_MILLISECONDS, 2 * backoffMilliseconds);
  }

  /** Records that the nearby gateway has served a read. */
  public void onServed() {
    backoffMilliseconds = INITIAL_BACKOFF_IN_MILLISECONDS;
  }
}
