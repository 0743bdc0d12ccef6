package org.toucanmast.core.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.toucanmast.core.failover.Succession.Candidate;
import org.toucanmast.core.group.Position;

/**
 * Chooses the endpoint that replaces a primary in a group whose commits are acknowledged after a
 * number of replicas have received them. The chosen endpoint has received every acknowledged
 * commit. It may be one that must not be given new work, which is then replaced in turn.
 *
 * @param synchronousReplicas the number of replicas that have received a commit before it is
 *     acknowledged, at least 1
 */
public record SynchronousSuccession(int synchronousReplicas) {
  /**
   * Creates a rule.
   *
   * @throws IllegalArgumentException when {@code synchronousReplicas} is less than 1
   */
  public SynchronousSuccession {
    if (synchronousReplicas < 1) {
      throw new IllegalArgumentException(
          "synchronousReplicas must be at least 1: " + synchronousReplicas);
    }
  }

  /**
   * Returns whether the candidates together have received every acknowledged commit. The primary
   * and the synchronous replicas have each of them, so that one of these is among the candidates.
   *
   * @param missingEndpoints the endpoints that may have received commits and are not candidates,
   *     the primary included, whether or not they are still members of the group
   */
  public boolean hasAllCommits(int missingEndpoints) {
    return missingEndpoints <= synchronousReplicas;
  }

  /** Returns the most advanced of candidates that together have every acknowledged commit. */
  public Optional<String> mostAdvanced(Collection<Candidate> candidates) {
    return candidates.stream()
        .map(Candidate::received)
        .max(Comparator.naturalOrder())
        .flatMap(position -> holding(candidates, position));
  }

  /**
   * Returns the candidate that has received all commits up to a position; empty if none has.
   *
   * @param acknowledged a position that covers every acknowledged commit
   */
  public Optional<String> holding(Collection<Candidate> candidates, Position acknowledged) {
    return candidates.stream()
        .filter(candidate -> candidate.received().compareTo(acknowledged) >= 0)
        .max(
            Comparator.comparing(Candidate::mayWork)
                .thenComparing(Candidate::received)
                .thenComparing(Candidate::endpointId, Comparator.reverseOrder()))
        .map(Candidate::endpointId);
  }
}
