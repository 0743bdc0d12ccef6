package org.toucanmast.core.group;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One round of status calls to all endpoints of a group, all sent at the same time.
 *
 * <p>What the round shows held at or after its start. A term whose primary and majority answered
 * can have had no successor before the start, because a successor fences a majority first.
 */
public final class ObservationRound {
  private final long startedAt;
  private final int majority;
  private final Map<String, EndpointStatus> answers = new HashMap<>();

  /**
   * Creates a round without answers.
   *
   * @param startedAt when its calls were sent, in nanoseconds
   * @param majority how many endpoints are more than half of the group
   */
  public ObservationRound(long startedAt, int majority) {
    this.startedAt = startedAt;
    this.majority = majority;
  }

  /** Returns when the calls were sent, in nanoseconds. */
  public long startedAt() {
    return startedAt;
  }

  /** Adds an endpoint's answer. */
  public void add(EndpointStatus status) {
    answers.put(status.endpoint(), status);
  }

  /** Tells how many endpoints answered. */
  public int size() {
    return answers.size();
  }

  /** Returns the status of one endpoint, if it answered. */
  public Optional<EndpointStatus> of(String endpoint) {
    return Optional.ofNullable(answers.get(endpoint));
  }

  /** Returns the primary of the highest term that answered. */
  public Optional<EndpointStatus> primary() {
    return answers.values().stream()
        .filter(status -> status.role() == Role.PRIMARY)
        .max((left, right) -> Long.compare(left.term(), right.term()));
  }

  /** Returns the primary when a majority, the primary included, answered at its term. */
  public Optional<EndpointStatus> confirmedPrimary() {
    return primary().filter(found -> countAt(found.term()) >= majority);
  }

  /**
   * Tells whether the round confirms a write applied before its start.
   *
   * @param primary the endpoint that applied it; it counts as one of the majority
   */
  public boolean confirms(AcknowledgementRule rule, String primary, Position write) {
    long others =
        answers.values().stream()
            .filter(status -> !status.endpoint().equals(primary))
            .filter(status -> rule.isConfirmedBy(status, write))
            .count();
    return others + 1 >= majority;
  }

  /**
   * Tells whether a confirmed primary of a later term and a majority with it hold a write, so that
   * the write has survived the change of primary.
   */
  public boolean successorHolds(Position write) {
    return confirmedPrimary()
        .filter(successor -> successor.term() > write.term())
        .filter(successor -> holds(successor, write))
        .filter(successor -> countHolding(successor.term(), write) >= majority)
        .isPresent();
  }

  /** Tells whether any answer shows that a higher term has begun. */
  public boolean showsTermAbove(long term) {
    return answers.values().stream().anyMatch(status -> status.term() > term);
  }

  /** Returns the highest term among the answers, or 0. */
  public long highestTerm() {
    return answers.values().stream().mapToLong(EndpointStatus::term).max().orElse(0);
  }

  private static boolean holds(EndpointStatus status, Position write) {
    return status.log().coverageOf(write) == LogSummary.Coverage.COVERED;
  }

  private long countHolding(long term, Position write) {
    return answers.values().stream()
        .filter(status -> status.term() == term)
        .filter(status -> holds(status, write))
        .count();
  }

  private long countAt(long term) {
    return answers.values().stream().filter(status -> status.term() == term).count();
  }
}
