package org.toucanmast.core.freshness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.toucanmast.core.group.Position;

/**
 * Positions that a primary was known to have while it led.
 *
 * <p>An observation made at a time covers every commit that was acknowledged before it. A read that
 * accepts data of some age may therefore run on any log that holds the oldest observation that is
 * no older than that age.
 */
public final class PositionHistory {
  /** Observations closer together than this replace each other, in milliseconds. */
  private static final long SPACING_IN_MILLISECONDS = 20;

  private record Observation(long at, Position position) {}

  private final long horizonInMilliseconds;
  private final Deque<Observation> observations = new ArrayDeque<>();
  private Position newest = Position.NONE;
  private long newestAt = Long.MIN_VALUE;

  /**
   * Creates an empty history.
   *
   * @param horizonInMilliseconds how long observations are kept
   */
  public PositionHistory(long horizonInMilliseconds) {
    this.horizonInMilliseconds = horizonInMilliseconds;
  }

  /**
   * Adds what a primary answered.
   *
   * @param askedAt when it was asked, in milliseconds: only older commits are covered for certain
   * @param position its position when it answered
   */
  public void observe(long askedAt, Position position) {
    if (askedAt < newestAt) {
      newest = newest.maximum(position);
      return;
    }
    if (newestAt == Long.MIN_VALUE || askedAt - lastAt() >= SPACING_IN_MILLISECONDS) {
      observations.addLast(new Observation(askedAt, position));
    }
    newestAt = askedAt;
    newest = newest.maximum(position);
    while (observations.size() > 1
        && askedAt - observations.peekFirst().at() > horizonInMilliseconds) {
      observations.removeFirst();
    }
  }

  private long lastAt() {
    return observations.isEmpty() ? Long.MIN_VALUE / 2 : observations.peekLast().at();
  }

  /**
   * Returns the least position that a log must hold for a read that accepts data of the given age;
   * empty when nothing is known that is recent enough.
   */
  public Optional<Position> required(long stalenessInMilliseconds, long now) {
    for (Observation observation : observations) {
      if (now - observation.at() <= stalenessInMilliseconds) {
        return Optional.of(observation.position());
      }
    }
    return newestAt != Long.MIN_VALUE && now - newestAt <= stalenessInMilliseconds
        ? Optional.of(newest)
        : Optional.empty();
  }

  /** Returns when the primary was first known to hold a position; empty when it is not known to. */
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

  /** Returns the newest position. */
  public Position newest() {
    return newest;
  }

  /** Returns how old the newest observation is; very large when there is none. */
  public long age(long now) {
    return newestAt == Long.MIN_VALUE ? Long.MAX_VALUE : now - newestAt;
  }

  /** Forgets when positions were observed, after clocks were found to disagree. */
  public void distrust() {
    observations.clear();
    newestAt = Long.MIN_VALUE;
  }
}
