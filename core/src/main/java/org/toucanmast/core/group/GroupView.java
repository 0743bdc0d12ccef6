package org.toucanmast.core.group;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * The state of one database group as known to one VM.
 *
 * <p>The statuses of replicas may be outdated and are used only to choose an endpoint; the status
 * in the endpoint's reply decides whether that reply is valid.
 */
public final class GroupView {
  private static final int MAXIMUM_HISTORY = 512;

  /** The primary's position in a round, confirmed by a majority as of the start of the round. */
  private record ConfirmedPosition(long at, Position position) {}

  private final Map<String, EndpointStatus> statuses = new HashMap<>();
  private final Deque<ConfirmedPosition> history = new ArrayDeque<>();
  private String primary = "";
  private long term;
  private long confirmedAt;
  private boolean everConfirmed;

  /**
   * Records a status that an endpoint reported, in an observation round or with another reply. A
   * status of a lower term than the known one is ignored.
   */
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

  /** Records that an endpoint is the primary of a term; lower terms are ignored. */
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

  /** Records an observation round; without effect unless the round confirms a primary. */
  public void learnRound(ObservationRound round) {
    round
        .confirmedPrimary()
        .filter(status -> status.term() >= term)
        .ifPresent(
            status -> {
              learnPrimary(status.endpoint(), status.term());
              recordConfirmation(round.startedAt(), status.position());
            });
  }

  private void recordConfirmation(long at, Position position) {
    if (everConfirmed && at - confirmedAt < 0) {
      return;
    }
    everConfirmed = true;
    confirmedAt = at;
    history.addLast(new ConfirmedPosition(at, position));
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

  /**
   * Returns the time since a majority last confirmed the primary, in nanoseconds; -1 when it was
   * never confirmed.
   */
  public long confirmationAge(long now) {
    return everConfirmed ? Math.max(0, now - confirmedAt) : -1;
  }

  /** Returns the last known status of each endpoint. */
  public Collection<EndpointStatus> statuses() {
    return statuses.values();
  }

  /** Returns the last known status of an endpoint. */
  public Optional<EndpointStatus> statusOf(String endpoint) {
    return Optional.ofNullable(statuses.get(endpoint));
  }

  /** Removes the status of an endpoint that failed to reply. */
  public void forget(String endpoint) {
    statuses.remove(endpoint);
  }

  /**
   * Returns a position that covers every write that was acknowledged at least the given age ago.
   *
   * @param maximumAgeNanoseconds the maximum accepted age, in nanoseconds
   * @param now the current time, in nanoseconds
   * @return the position, or empty when no confirmed observation is recent enough
   */
  public Optional<Position> positionWithin(long maximumAgeNanoseconds, long now) {
    Iterator<ConfirmedPosition> oldestFirst = history.iterator();
    while (oldestFirst.hasNext()) {
      ConfirmedPosition known = oldestFirst.next();
      if (now - known.at() <= maximumAgeNanoseconds) {
        return Optional.of(known.position());
      }
    }
    return Optional.empty();
  }
}
