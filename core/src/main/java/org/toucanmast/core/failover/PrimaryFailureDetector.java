package org.toucanmast.core.failover;

import org.toucanmast.core.link.LocalHealth;

/**
 * Failure detector of a gateway for the primary of a group.
 *
 * <p>A refused connection shows that no process listens, whereas silence may also be a pause of the
 * endpoint or a network partition. Silence must therefore last longer before the primary counts as
 * failed. Any reply ends the suspicion.
 */
public final class PrimaryFailureDetector {
  /**
   * Time for which connections must be refused before the primary counts as failed, so that a
   * restart of the endpoint does not cause a failover.
   */
  private static final long REFUSAL_LIMIT_IN_MILLISECONDS = 250;

  /**
   * Time for which the primary must be silent before it counts as failed: several round trips and a
   * short pause of the endpoint.
   */
  private static final long SILENCE_LIMIT_IN_MILLISECONDS = 700;

  /** Time after the last sign of failure at which a suspicion ends. */
  private static final long SUSPICION_LIFETIME_IN_MILLISECONDS = 2_000;

  private long refusedSince = Long.MAX_VALUE;
  private long silentSince = Long.MAX_VALUE;
  private long lastSignAt = Long.MIN_VALUE;

  /**
   * Records that the endpoint refused a connection.
   *
   * @param now the current time, in milliseconds
   */
  public void onConnectionRefused(long now) {
    expire(now);
    refusedSince = Math.min(refusedSince, now);
    lastSignAt = now;
  }

  /**
   * Records that the endpoint has not replied since the given time.
   *
   * @param since when the unanswered command was sent, in milliseconds
   * @param now the current time, in milliseconds
   */
  public void onSilence(long since, long now) {
    expire(now);
    silentSince = Math.min(silentSince, since);
    lastSignAt = now;
  }

  /** Records that the endpoint replied, which clears all signs of failure. */
  public void onReply() {
    refusedSince = Long.MAX_VALUE;
    silentSince = Long.MAX_VALUE;
  }

  private void expire(long now) {
    if (lastSignAt != Long.MIN_VALUE && now - lastSignAt > SUSPICION_LIFETIME_IN_MILLISECONDS) {
      onReply();
    }
  }

  /**
   * Returns whether there is any sign of failure.
   *
   * @param now the current time, in milliseconds
   */
  public boolean isSuspected(long now) {
    expire(now);
    return refusedSince != Long.MAX_VALUE || silentSince != Long.MAX_VALUE;
  }

  /**
   * Returns whether the endpoint refuses connections: no process listens, but its machine can be
   * reached.
   *
   * @param now the current time, in milliseconds
   */
  public boolean isRefusing(long now) {
    expire(now);
    return refusedSince != Long.MAX_VALUE;
  }

  /**
   * Returns whether the signs of failure have lasted long enough to replace the primary.
   *
   * @param localHealth extends the limits while this VM is short of processor time
   * @param now the current time, in milliseconds
   */
  public boolean hasFailed(LocalHealth localHealth, long now) {
    expire(now);
    return localHealth.mayJudge(now)
        && (hasLasted(refusedSince, now, localHealth.extended(REFUSAL_LIMIT_IN_MILLISECONDS, now))
            || hasLasted(
                silentSince, now, localHealth.extended(SILENCE_LIMIT_IN_MILLISECONDS, now)));
  }

  private static boolean hasLasted(long since, long now, long limitMilliseconds) {
    return since != Long.MAX_VALUE && now - since >= limitMilliseconds;
  }
}
