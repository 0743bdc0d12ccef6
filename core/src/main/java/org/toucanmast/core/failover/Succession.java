package org.toucanmast.core.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.toucanmast.core.group.Position;

/**
 * Chooses the endpoint that replaces a primary: the one with the most advanced log among those that
 * accept work.
 */
public final class Succession {

  /**
   * An endpoint that replied to the candidate poll.
   *
   * @param endpointId the endpoint's id
   * @param received the newest position that the endpoint has received
   * @param mayWork whether the endpoint may be given new work
   */
  public record Candidate(String endpointId, Position received, boolean mayWork) {}

  private Succession() {}

  /**
   * Returns the id of the endpoint to promote; empty when no candidate accepts work. The smallest
   * id is chosen among equally advanced candidates.
   */
  public static Optional<String> choose(Collection<Candidate> candidates) {
    return candidates.stream()
        .filter(Candidate::mayWork)
        .max(
            Comparator.comparing(Candidate::received)
                .thenComparing(Candidate::endpointId, Comparator.reverseOrder()))
        .map(Candidate::endpointId);
  }
}
