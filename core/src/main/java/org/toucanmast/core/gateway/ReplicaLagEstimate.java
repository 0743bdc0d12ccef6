package org.toucanmast.core.gateway;

import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.group.Position;

/**
 * Estimates a replica's replication lag from the positions in its replies, and whether its log
 * covers a position.
 *
 * <p>When replicas fall behind, this estimate routes reads to a replica that probably has the
 * required data, which avoids attempts that the replica would refuse.
 */
public final class ReplicaLagEstimate {
  /** Estimate before the first sample. */
  private static final double INITIAL_LAG_IN_MILLISECONDS = 20;

  /** Weight of a new sample in the moving average. */
  private static final double GAIN = 1.0 / 4;

  /** A refused read shows that the lag is underestimated; the estimate grows by this factor. */
  private static final double REFUSAL_FACTOR = 1.5;

  /** Upper limit of the estimate, so that a replica is eventually tried again. */
  private static final double MAXIMUM_LAG_IN_MILLISECONDS = 2_000;

  /**
   * How long the newest reply limits the estimate from below. A replica that stands still gives no
   * new samples; after this time it is tried again, because nothing else shows its recovery.
   */
  private static final long NEWEST_REPLY_AGE_IN_MILLISECONDS = 500;

  private Position confirmedPosition = Position.NONE;
  private double lagMilliseconds = INITIAL_LAG_IN_MILLISECONDS;
  private double newestLagMilliseconds;
  private long newestReplyAt = Long.MIN_VALUE / 2;

  /**
   * Updates the estimate from a reply of the replica.
   *
   * @param position the position in the reply
   * @param primary the positions of the primary over time
   * @param now the current time, in milliseconds
   */
  public void observe(Position position, PositionHistory primary, long now) {
    Position next = new Position(position.term(), position.index() + 1);
    double sample = primary.reachedAt(next).map(reachedAt -> (double) now - reachedAt).orElse(0.0);
    newestLagMilliseconds = sample;
    newestReplyAt = now;
    if (position.compareTo(confirmedPosition) > 0) {
      lagMilliseconds += GAIN * (Math.min(sample, MAXIMUM_LAG_IN_MILLISECONDS) - lagMilliseconds);
    }
    confirmedPosition = confirmedPosition.maximum(position);
  }

  /** Records that the replica refused a read because its log does not cover the read's position. */
  public void onReadRefused() {
    lagMilliseconds = Math.min(MAXIMUM_LAG_IN_MILLISECONDS, lagMilliseconds * REFUSAL_FACTOR + 1);
  }

  /**
   * Returns whether the replica's log probably covers a position: either a reply showed it, or the
   * primary reached the position longer ago than the estimated lag.
   *
   * @param primary the positions of the primary over time
   * @param now the current time, in milliseconds
   */
  public boolean probablyHolds(Position required, PositionHistory primary, long now) {
    if (required.compareTo(confirmedPosition) <= 0) {
      return true;
    }
    return primary
        .reachedAt(required)
        .filter(reachedAt -> now - reachedAt > lagMilliseconds)
        .isPresent();
  }

  /**
   * Returns the time until the replica's log probably covers what a read requires, in milliseconds:
   * 0 if it does now, infinite if it never does at the estimated lag.
   *
   * <p>The position that bounds the staleness advances while the read waits. A replica whose lag
   * exceeds the staleness therefore never covers it, while it covers a position that the caller has
   * seen after a time.
   *
   * @param required the position that the read requires now
   * @param seen the newest position that the caller has seen; {@link Position#NONE} if the read
   *     need not cover it
   * @param stalenessInMilliseconds the maximum staleness of the read
   * @param primary the positions of the primary over time
   * @param now the current time, in milliseconds
   */
  public double millisecondsUntilHeld(
      Position required,
      Position seen,
      long stalenessInMilliseconds,
      PositionHistory primary,
      long now) {
    double lag =
        now - newestReplyAt < NEWEST_REPLY_AGE_IN_MILLISECONDS
            ? Math.max(lagMilliseconds, newestLagMilliseconds)
            : lagMilliseconds;
    if (required.compareTo(confirmedPosition) <= 0) {
      return 0;
    }
    double untilHeld =
        primary.reachedAt(required).map(reachedAt -> reachedAt + lag - now).orElse(lag);
    if (untilHeld < 0) {
      return 0;
    }
    return lag >= stalenessInMilliseconds || seen.compareTo(required) < 0
        ? Double.POSITIVE_INFINITY
        : Math.max(1, untilHeld);
  }

  /** Returns whether a reply has shown that the replica's log covers a position. */
  public boolean hasConfirmed(Position required) {
    return required.compareTo(confirmedPosition) <= 0;
  }

  /** Discards the known position and the estimate, after the replica has restarted. */
  public void reset() {
    confirmedPosition = Position.NONE;
    newestReplyAt = Long.MIN_VALUE / 2;
    lagMilliseconds = INITIAL_LAG_IN_MILLISECONDS;
  }

  /** Returns the estimated lag behind the primary, in milliseconds. */
  public double expectedLagMilliseconds() {
    return lagMilliseconds;
  }
}
