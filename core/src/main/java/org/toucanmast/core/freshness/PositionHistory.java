package org.toucanmast.core.freshness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.toucanmast.core.group.Position;

/**
 * Log positions of a group's primary over time.
 *
 * <p>An observed position covers every commit that was acknowledged before the primary was asked
 * for it. A read that accepts data up to a given age may therefore run on any log that covers the
 * oldest observation within that age.
 */
public final class PositionHistory {
  /**
   * Minimum interval between stored observations; one that follows sooner only updates the newest
   * position.
   */
  private static final long MINIMUM_INTERVAL_IN_MILLISECONDS = 20;

  private record Observation(long at, Position position) {}

  private final long retentionInMilliseconds;
  private final Deque<Observation> observations = new ArrayDeque<>();
  private Position newest = Position.NONE;
  private long newestAt = Long.MIN_VALUE;

  /**
   * Creates an empty history.
   *
   * @param retentionInMilliseconds how long observations are kept
   */
  public PositionHistory(long retentionInMilliseconds) {
    this.retentionInMilliseconds = retentionInMilliseconds;
  }

  /**
   * Adds an observation of the primary's position.
   *
   * @param askedAt when the primary was asked, in milliseconds; the position is certain to cover
   *     only commits acknowledged before this time
   * @param position the position in the primary's reply
   */
  public void observe(long askedAt, Position position) {
    if (askedAt < newestAt) {
      newest = newest.maximum(position);
      return;
    }
    if (newestAt == Long.MIN_VALUE
        || askedAt - lastStoredAt() >= MINIMUM_INTERVAL_IN_MILLISECONDS) {
      observations.addLast(new Observation(askedAt, position));
    }
    newestAt = askedAt;
    newest = newest.maximum(position);
    while (observations.size() > 1
        && askedAt - observations.peekFirst().at() > retentionInMilliseconds) {
      observations.removeFirst();
    }
  }

  private long lastStoredAt() {
    return observations.isEmpty() ? Long.MIN_VALUE / 2 : observations.peekLast().at();
  }

  /**
   * Returns the lowest position that a log must cover for a read that accepts data of the given
   * age; empty when there is no observation within that age.
   *
   * @param stalenessInMilliseconds the maximum accepted age of the data
   * @param now the current time, in milliseconds
   */
  public Optional<Position> requiredPosition(long stalenessInMilliseconds, long now) {
    for (Observation observation : observations) {
      if (now - observation.at() <= stalenessInMilliseconds) {
        return Optional.of(observation.position());
      }
    }
    return newestAt != Long.MIN_VALUE && now - newestAt <= stalenessInMilliseconds
        ? Optional.of(newest)
        : Optional.empty();
  }

  /**
   * Returns when the primary was first observed at or past a position, in milliseconds; empty when
   * it was not observed there.
   */
  public Optional<Long> reachedAt(Position position) {
    Iterator<Observation> oldestFirst = observations.iterator();
    while (oldestFirst.hasNext()) {
      Observation observation = oldestFirst.next();
      if (observation.position().compareTo(position) >= 0) {
        return Optional.of(observation.at());
      }
    }
    return Optional.empty();
  }

  /** Returns the newest observed position. */
  public Position newest() {
    return newest;
  }

  /**
   * Returns the age of the newest observation, in milliseconds; {@link Long#MAX_VALUE} when there
   * is none.
   *
   * @param now the current time, in milliseconds
   */
  public long age(long now) {
    return newestAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - newestAt;
  }

  /**
   * Discards the times of all observations, after the VM's clocks were found to disagree. The
   * newest position is kept.
   */
  public void discardTimes() {
    observations.clear();
    newestAt = Long.MIN_VALUE;
  }
}
