package org.toucanmast.core.promotion;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.toucanmast.core.group.EndpointStatus;

/**
 * One order of a promotion: fence a majority in a new term, then promote the most advanced of the
 * fenced endpoints.
 *
 * <p>Two orders of the same term cannot both reach a majority, because an endpoint grants a term
 * once. Each write that a majority holds is held by one of the fenced, so the most advanced of them
 * holds it too.
 */
public final class Promotion {
  private final long term;
  private final int groupSize;
  private final Map<String, EndpointStatus> fenced = new HashMap<>();
  private int failures;

  /**
   * Creates an order in which nothing is fenced yet.
   *
   * @param term the new term
   * @param groupSize the number of endpoints in the group
   */
  public Promotion(long term, int groupSize) {
    this.term = term;
    this.groupSize = groupSize;
  }

  /** Returns the new term. */
  public long term() {
    return term;
  }

  /** Takes in that an endpoint granted the term. */
  public void onFenced(EndpointStatus status) {
    fenced.put(status.endpoint(), status);
  }

  /** Takes in that an endpoint refused the term or did not answer. */
  public void onNotFenced() {
    failures++;
  }

  /** Tells whether a majority granted the term. */
  public boolean hasMajority() {
    return fenced.size() > groupSize / 2;
  }

  /** Tells whether every endpoint granted, refused or stayed silent. */
  public boolean isComplete() {
    return fenced.size() + failures >= groupSize;
  }

  /**
   * Returns the endpoint to promote, once a majority granted the term.
   *
   * @param preferred tells which endpoints may be given work; decides among equally advanced ones
   */
  public Optional<String> candidate(Predicate<String> preferred) {
    if (!hasMajority()) {
      return Optional.empty();
    }
    return fenced.values().stream()
        .max(
            Comparator.comparing(EndpointStatus::position)
                .thenComparing(status -> preferred.test(status.endpoint()))
                .thenComparing(EndpointStatus::endpoint))
        .map(EndpointStatus::endpoint);
  }
}
