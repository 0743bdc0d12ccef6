package org.toucanmast.core.promotion;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.toucanmast.core.group.EndpointStatus;

/**
 * State of one promotion: it fences a majority of the endpoints in a new term, then promotes the
 * most advanced of the fenced endpoints.
 *
 * <p>Two promotions in the same term cannot both reach a majority, because each endpoint grants a
 * term only once. At least one fenced endpoint holds each write that a majority holds, and
 * therefore so does the most advanced of them.
 */
public final class Promotion {
  private final long term;
  private final int groupSize;
  private final Map<String, EndpointStatus> fenced = new HashMap<>();
  private int failures;

  /**
   * Creates a promotion without fenced endpoints.
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

  /** Records that an endpoint granted the term. */
  public void onFenced(EndpointStatus status) {
    fenced.put(status.endpoint(), status);
  }

  /** Records that an endpoint refused the term or did not reply. */
  public void onNotFenced() {
    failures++;
  }

  /** Returns whether a majority of the endpoints granted the term. */
  public boolean hasMajority() {
    return fenced.size() > groupSize / 2;
  }

  /** Returns whether every endpoint has granted the term, refused it or failed to reply. */
  public boolean isComplete() {
    return fenced.size() + failures >= groupSize;
  }

  /**
   * Returns the endpoint to promote; empty while no majority has granted the term.
   *
   * @param preferred accepts the endpoints that win among equally advanced ones
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
