package org.toucanmast.core.group;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One round of status calls, sent to the endpoints of a group at the same time.
 *
 * <p>The reported states were in effect at or after the start of the round. If the primary of a
 * term and a majority with it report that term, no later primary can have existed before the start,
 * because a promotion first fences a majority.
 */
public final class ObservationRound {
  private final long startedAt;
  private final int majority;
  private final Map<String, EndpointStatus> statuses = new HashMap<>();

  /**
   * Creates a round without replies.
   *
   * @param startedAt when the calls were sent, in nanoseconds
   * @param majority the number of endpoints that form a majority of the group
   */
  public ObservationRound(long startedAt, int majority) {
    this.startedAt = startedAt;
    this.majority = majority;
  }

  /** Returns when the calls were sent, in nanoseconds. */
  public long startedAt() {
    return startedAt;
  }

  /** Adds the status that an endpoint reported. */
  public void add(EndpointStatus status) {
    statuses.put(status.endpoint(), status);
  }

  /** Returns the number of endpoints that replied. */
  public int size() {
    return statuses.size();
  }

  /** Returns the status of an endpoint; empty when it has not replied. */
  public Optional<EndpointStatus> of(String endpoint) {
    return Optional.ofNullable(statuses.get(endpoint));
  }

  /** Returns the primary of the highest term among those that replied. */
  public Optional<EndpointStatus> primary() {
    return statuses.values().stream()
        .filter(status -> status.role() == Role.PRIMARY)
        .max((left, right) -> Long.compare(left.term(), right.term()));
  }

  /** Returns the primary if a majority, including the primary, reported its term. */
  public Optional<EndpointStatus> confirmedPrimary() {
    return primary().filter(found -> countAt(found.term()) >= majority);
  }

  /**
   * Returns whether the round confirms a write that was applied before its start.
   *
   * @param rule the condition for each endpoint of the majority
   * @param primary the endpoint that applied the write; it counts as part of the majority
   * @param write the position of the write
   */
  public boolean confirms(AcknowledgementRule rule, String primary, Position write) {
    long others =
        statuses.values().stream()
            .filter(status -> !status.endpoint().equals(primary))
            .filter(status -> rule.isConfirmedBy(status, write))
            .count();
    return others + 1 >= majority;
  }

  /**
   * Returns whether a confirmed primary of a later term holds a write together with a majority,
   * which means that the write has survived the promotion.
   */
  public boolean showsSurvivalOf(Position write) {
    return confirmedPrimary()
        .filter(laterPrimary -> laterPrimary.term() > write.term())
        .filter(laterPrimary -> holds(laterPrimary, write))
        .filter(laterPrimary -> countHolding(laterPrimary.term(), write) >= majority)
        .isPresent();
  }

  /** Returns whether any endpoint reported a higher term. */
  public boolean showsTermAbove(long term) {
    return statuses.values().stream().anyMatch(status -> status.term() > term);
  }

  /** Returns the highest reported term; 0 without replies. */
  public long highestTerm() {
    return statuses.values().stream().mapToLong(EndpointStatus::term).max().orElse(0);
  }

  private static boolean holds(EndpointStatus status, Position write) {
    return status.log().coverageOf(write) == LogSummary.Coverage.COVERED;
  }

  private long countHolding(long term, Position write) {
    return statuses.values().stream()
        .filter(status -> status.term() == term)
        .filter(status -> holds(status, write))
        .count();
  }

  private long countAt(long term) {
    return statuses.values().stream().filter(status -> status.term() == term).count();
  }
}
