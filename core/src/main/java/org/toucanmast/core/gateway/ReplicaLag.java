package org.toucanmast.core.gateway;

import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.group.Position;

/**
 * Whether a replica's log may hold a position, from what it answered before.
 *
 * <p>Answers the load pattern of replicas that fall behind: reads go to a replica that has what
 * they need instead of being refused there first.
 */
public final class ReplicaLag {
  /** A first guess of the delay, in milliseconds. */
  private static final double FIRST_GUESS_IN_MILLISECONDS = 20;

  /** Weight of a new sample. */
  private static final double GAIN = 1.0 / 4;

  /** A refusal says that the delay is longer than was thought; by this factor it is raised. */
  private static final double RAISE_ON_REFUSAL = 1.5;

  /** Delays are not thought to exceed this, so that a replica is tried again, in milliseconds. */
  private static final double LONGEST_IN_MILLISECONDS = 2_000;

  private Position known = Position.NONE;
  private double delay = FIRST_GUESS_IN_MILLISECONDS;

  /** Notes the position that the replica answered with. */
  public void observe(Position position, PositionHistory primary, long now) {
    if (position.compareTo(known) > 0) {
      Position next = new Position(position.term(), position.index() + 1);
      double sample = primary.reachedAt(next).map(at -> (double) now - at).orElse(0.0);
      delay += GAIN * (Math.min(sample, LONGEST_IN_MILLISECONDS) - delay);
    }
    known = known.maximum(position);
  }

  /** Notes that the replica refused a read because its log lacks what the read needs. */
  public void refused() {
    delay = Math.min(LONGEST_IN_MILLISECONDS, delay * RAISE_ON_REFUSAL + 1);
  }

  /** Returns whether a read that needs the given position will probably not be refused. */
  public boolean probablyHolds(Position needed, PositionHistory primary, long now) {
    if (needed.compareTo(known) <= 0) {
      return true;
    }
    return primary.reachedAt(needed).filter(at -> now - at > delay).isPresent();
  }

  /** Forgets what was known, after the replica started anew. */
  public void reset() {
    known = Position.NONE;
    delay = FIRST_GUESS_IN_MILLISECONDS;
  }

  /** Returns the delay behind the primary that is expected, in milliseconds. */
  public double expectedDelay() {
    return delay;
  }
}
