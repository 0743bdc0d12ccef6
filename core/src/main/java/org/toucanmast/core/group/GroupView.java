package org.toucanmast.core.group;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * What one VM knows of one database group. Knowledge of replicas only steers; the answers decide.
 */
public final class GroupView {
  private static final int MAXIMUM_HISTORY = 512;

  /** A primary position that was known to be the newest at a time. */
  private record KnownPosition(long at, Position position) {}

  private final Map<String, EndpointStatus> statuses = new HashMap<>();
  private final Deque<KnownPosition> history = new ArrayDeque<>();
  private String primary = "";
  private long term;
  private long confirmedAt;
  private boolean everConfirmed;

  /** Takes in an endpoint's statement of itself, from a round or beside an answer. */
  public void learn(EndpointStatus status) {
    EndpointStatus known = statuses.get(status.endpoint());
    if (known != null && known.term() > status.term()) {
      return;
    }
    statuses.put(status.endpoint(), status);
    if (status.role() == Role.PRIMARY) {
      learnPrimary(status.endpoint(), status.term());
    }
  }

  /** Takes in that an endpoint became primary of a term; lower terms are ignored. */
  public void learnPrimary(String endpoint, long newTerm) {
    if (newTerm > term) {
      term = newTerm;
      primary = endpoint;
      everConfirmed = false;
      history.clear();
    } else if (newTerm == term && primary.isEmpty()) {
      primary = endpoint;
    }
  }

  /** Takes in a finished round. */
  public void learnRound(ObservationRound round) {
    round
        .confirmedPrimary()
        .filter(status -> status.term() >= term)
        .ifPresent(
            status -> {
              learnPrimary(status.endpoint(), status.term());
              noteConfirmed(round.startedAt(), status.position());
            });
  }

  private void noteConfirmed(long at, Position position) {
    if (everConfirmed && at - confirmedAt < 0) {
      return;
    }
    everConfirmed = true;
    confirmedAt = at;
    history.addLast(new KnownPosition(at, position));
    if (history.size() > MAXIMUM_HISTORY) {
      history.removeFirst();
    }
  }

  /** Returns the name of the newest known primary. */
  public Optional<String> primary() {
    return primary.isEmpty() ? Optional.empty() : Optional.of(primary);
  }

  /** Returns the newest known term, or 0. */
  public long term() {
    return term;
  }

  /** Returns how long ago a majority confirmed the primary, in nanoseconds; -1 when never. */
  public long confirmationAge(long now) {
    return everConfirmed ? Math.max(0, now - confirmedAt) : -1;
  }

  /** Returns what endpoints last said of themselves. */
  public Collection<EndpointStatus> statuses() {
    return statuses.values();
  }

  /** Returns what one endpoint last said of itself. */
  public Optional<EndpointStatus> statusOf(String endpoint) {
    return Optional.ofNullable(statuses.get(endpoint));
  }

  /** Forgets what an endpoint said, after it failed to answer. */
  public void forget(String endpoint) {
    statuses.remove(endpoint);
  }

  /**
   * Returns a position that covers everything acknowledged up to the given age ago.
   *
   * @param maximumAge the accepted age, in nanoseconds
   * @return empty when no confirmed observation is young enough
   */
  public Optional<Position> positionWithin(long maximumAge, long now) {
    Iterator<KnownPosition> oldestFirst = history.iterator();
    while (oldestFirst.hasNext()) {
      KnownPosition known = oldestFirst.next();
      if (now - known.at() <= maximumAge) {
        return Optional.of(known.position());
      }
    }
    return Optional.empty();
  }
}
