package org.toucanmast.core.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.toucanmast.core.group.Position;

/** Which endpoint follows a primary: the one whose log reaches furthest, of those that may work. */
public final class Succession {

  /**
   * An endpoint that answered when it was asked how far its log reaches.
   *
   * @param endpointId its identity
   * @param received the newest position that it received
   * @param mayWork whether new work may be sent to it
   */
  public record Candidate(String endpointId, Position received, boolean mayWork) {}

  private Succession() {}

  /** Returns the endpoint to promote; empty when none may be. */
  public static Optional<String> choose(Collection<Candidate> candidates) {
    return candidates.stream()
        .filter(Candidate::mayWork)
        .max(
            Comparator.comparing(Candidate::received)
                .thenComparing(Candidate::endpointId, Comparator.reverseOrder()))
        .map(Candidate::endpointId);
  }
}
