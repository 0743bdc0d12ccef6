package org.toucanmast.core.promotion;

import org.toucanmast.core.group.ObservationRound;

/**
 * Failure detector of one observer for one primary.
 *
 * <p>A primary is suspected when no observation round has seen it for the suspicion timeout
 * although rounds were completed throughout that time. An observer that was paused restarts the
 * timeout, so that its own pause is not mistaken for a failure of the primary.
 */
public final class PrimaryTimeoutDetector {
  private final long timeoutNanoseconds;
  private long unseenSince;
  private long lastRoundAt;
  private boolean started;

  /**
   * Creates a detector without a suspicion.
   *
   * @param timeoutNanoseconds how long the primary must not be seen before it is suspected, in
   *     nanoseconds
   */
  public PrimaryTimeoutDetector(long timeoutNanoseconds) {
    this.timeoutNanoseconds = timeoutNanoseconds;
  }

  /**
   * Records a completed observation round.
   *
   * @param knownTerm the newest term known to this VM; a primary of an older term does not count
   * @param now the current time, in nanoseconds
   */
  public void onRound(ObservationRound round, long knownTerm, long now) {
    boolean paused = started && now - lastRoundAt > timeoutNanoseconds;
    boolean seen = round.primary().filter(status -> status.term() >= knownTerm).isPresent();
    if (!started || paused || seen) {
      unseenSince = now;
    }
    started = true;
    lastRoundAt = now;
  }

  /**
   * Returns whether the primary is suspected; false when no round was completed within the timeout.
   *
   * @param now the current time, in nanoseconds
   */
  public boolean isSuspected(long now) {
    return started
        && lastRoundAt - unseenSince >= timeoutNanoseconds
        && now - lastRoundAt <= timeoutNanoseconds;
  }
}
