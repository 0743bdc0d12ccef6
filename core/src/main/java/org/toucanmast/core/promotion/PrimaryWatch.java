package org.toucanmast.core.promotion;

import org.toucanmast.core.group.ObservationRound;

/**
 * One observer's judgement of one primary.
 *
 * <p>A primary is suspected when no round has shown it for the suspicion timeout, although rounds
 * were finished all that time. An observer that was paused starts its judgement anew, so that its
 * own pause is never taken for the primary's.
 */
public final class PrimaryWatch {
  private final long timeout;
  private long silentSince;
  private long lastRoundAt;
  private boolean started;

  /**
   * Creates a watch that suspects nothing.
   *
   * @param timeout the silence after which a primary is suspected, in nanoseconds
   */
  public PrimaryWatch(long timeout) {
    this.timeout = timeout;
  }

  /**
   * Takes in a finished round.
   *
   * @param knownTerm the newest term known to this VM
   * @param now the present time, in nanoseconds
   */
  public void onRound(ObservationRound round, long knownTerm, long now) {
    boolean paused = started && now - lastRoundAt > timeout;
    boolean seen = round.primary().filter(status -> status.term() >= knownTerm).isPresent();
    if (!started || paused || seen) {
      silentSince = now;
    }
    started = true;
    lastRoundAt = now;
  }

  /** Tells whether the primary is suspected. */
  public boolean suspects(long now) {
    return started && lastRoundAt - silentSince >= timeout && now - lastRoundAt <= timeout;
  }
}
