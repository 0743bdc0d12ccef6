package org.toucanmast.core.failover;

/**
 * Whether the primary of a group is given up, from what this gateway sees of it.
 *
 * <p>A refused connection says that no process listens; silence may be a pause or a cut. So silence
 * must last longer. Any answer ends the suspicion.
 */
public final class PrimarySuspicion {
  /** Refused connections must go on for this long, so that a restart is not a failover. */
  private static final long REFUSED_FOR_IN_MILLISECONDS = 250;

  /** Silence must go on for this long: several round trips and a short pause of the endpoint. */
  private static final long SILENT_FOR_IN_MILLISECONDS = 700;

  /** A suspicion without any fresh sign ends after this, in milliseconds. */
  private static final long FORGOTTEN_AFTER_IN_MILLISECONDS = 2_000;

  private long refusedSince = Long.MAX_VALUE;
  private long silentSince = Long.MAX_VALUE;
  private long lastSign = Long.MIN_VALUE;

  /** Notes that the endpoint refused a connection. */
  public void refused(long now) {
    expire(now);
    refusedSince = Math.min(refusedSince, now);
    lastSign = now;
  }

  /** Notes that the endpoint has not answered since the given time. */
  public void silent(long since, long now) {
    expire(now);
    silentSince = Math.min(silentSince, since);
    lastSign = now;
  }

  /** Notes that the endpoint answered. */
  public void answered() {
    refusedSince = Long.MAX_VALUE;
    silentSince = Long.MAX_VALUE;
  }

  private void expire(long now) {
    if (lastSign != Long.MIN_VALUE && now - lastSign > FORGOTTEN_AFTER_IN_MILLISECONDS) {
      answered();
    }
  }

  /** Returns whether there is any sign of failure. */
  public boolean isSuspected(long now) {
    expire(now);
    return refusedSince != Long.MAX_VALUE || silentSince != Long.MAX_VALUE;
  }

  /** Returns whether the signs have lasted long enough to replace the primary. */
  public boolean isGivenUp(long now) {
    expire(now);
    return lasted(refusedSince, now, REFUSED_FOR_IN_MILLISECONDS)
        || lasted(silentSince, now, SILENT_FOR_IN_MILLISECONDS);
  }

  private static boolean lasted(long since, long now, long limit) {
    return since != Long.MAX_VALUE && now - since >= limit;
  }
}
