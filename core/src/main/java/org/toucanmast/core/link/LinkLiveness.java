package org.toucanmast.core.link;

import java.util.Set;

/**
 * Judges a link by what travels over it: any received byte is a sign of life, and only a peer that
 * owes an answer can be silent.
 *
 * <p>Load pattern: links that carry statements need no heartbeats of their own, and a fleet has
 * many links that are rarely used. When a peer dies under load, its answers stay out; a heartbeat
 * is then sent at once, so that the peer is suspected as soon as on a link with frequent
 * heartbeats.
 */
public final class LinkLiveness {
  /** A peer that owes an answer for this long is suspected and gets no new statements. */
  public static final long SUSPICION_TIMEOUT_IN_MILLISECONDS = 350;

  /** A link whose peer owes an answer for this long is closed; short suspensions end earlier. */
  public static final long SILENCE_TIMEOUT_IN_MILLISECONDS = 1_200;

  /**
   * A heartbeat is sent when an answer has been outstanding for this long without a sign of life.
   */
  private static final long PROBE_DELAY_IN_MILLISECONDS = 100;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final LocalHealth localHealth;
  private long lastReceivedAt;
  private long lastHeartbeatAt = NEVER;
  private long awaitingSince = Long.MAX_VALUE;

  /**
   * Creates the state of a link that was opened now.
   *
   * @param localHealth extends the timeouts while this VM is short of processor time
   * @param now the current time, in milliseconds
   */
  public LinkLiveness(LocalHealth localHealth, long now) {
    this.localHealth = localHealth;
    lastReceivedAt = now;
  }

  /**
   * Records that something was sent to which the peer answers.
   *
   * @param now the current time, in milliseconds
   */
  public void onRequestSent(long now) {
    awaitingSince = Math.min(awaitingSince, now);
  }

  /**
   * Records that a heartbeat was sent, which the peer answers at once.
   *
   * @param now the current time, in milliseconds
   */
  public void onHeartbeatSent(long now) {
    lastHeartbeatAt = now;
    onRequestSent(now);
  }

  /**
   * Records that bytes were received.
   *
   * @param requestsOutstanding whether the peer still owes answers to statements
   * @param now the current time, in milliseconds
   */
  public void onReceived(boolean requestsOutstanding, long now) {
    lastReceivedAt = now;
    awaitingSince = requestsOutstanding ? now : Long.MAX_VALUE;
  }

  /**
   * Discounts a time during which this VM itself was suspended. Where timers are measured, bytes
   * that were read since then count as received now, not later.
   *
   * @param pauseInMilliseconds the time to discount
   * @param now the current time, in milliseconds
   */
  public void onPause(long pauseInMilliseconds, long now) {
    long latest = localHealth.isMeasured() ? now : Long.MAX_VALUE;
    lastReceivedAt = Math.min(latest, lastReceivedAt + pauseInMilliseconds);
    if (awaitingSince != Long.MAX_VALUE) {
      awaitingSince = Math.min(latest, awaitingSince + pauseInMilliseconds);
    }
  }

  /**
   * Returns whether a heartbeat is due.
   *
   * @param uses why the link is kept; no heartbeats are due on a link without a use
   * @param now the current time, in milliseconds
   */
  public boolean isHeartbeatDue(Set<LinkUse> uses, long now) {
    if (silence(now) >= PROBE_DELAY_IN_MILLISECONDS) {
      return now - lastHeartbeatAt >= PROBE_DELAY_IN_MILLISECONDS;
    }
    for (LinkUse use : uses) {
      boolean lends = use == LinkUse.LENDING;
      long lastSign = lends ? lastHeartbeatAt : Math.max(lastHeartbeatAt, lastReceivedAt);
      if (now - lastSign >= use.heartbeatIntervalInMilliseconds()) {
        return true;
      }
    }
    return false;
  }

  /** Returns for how long the peer has owed an answer without a sign of life; 0 if it owes none. */
  private long silence(long now) {
    return awaitingSince == Long.MAX_VALUE ? 0 : now - Math.max(awaitingSince, lastReceivedAt);
  }

  /**
   * Returns whether the peer is suspected of having failed.
   *
   * @param now the current time, in milliseconds
   */
  public boolean isSuspected(long now) {
    return silence(now) > localHealth.extended(SUSPICION_TIMEOUT_IN_MILLISECONDS, now);
  }

  /**
   * Returns whether the link must be closed.
   *
   * @param now the current time, in milliseconds
   */
  public boolean isLost(long now) {
    return silence(now) > localHealth.extended(SILENCE_TIMEOUT_IN_MILLISECONDS, now);
  }
}
