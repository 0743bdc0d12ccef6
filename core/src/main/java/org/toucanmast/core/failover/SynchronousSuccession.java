package org.toucanmast.core.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.toucanmast.core.failover.Succession.Candidate;
import org.toucanmast.core.group.Position;

/**
 * Chooses the endpoint that replaces a primary in a group whose commits are acknowledged after a
 * number of replicas have received them. The chosen endpoint has received every commit that was
 * acknowledged, whether or not it may be given new work: one that may not is replaced in turn.
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
   * Returns the id of the endpoint that replaces a primary that was lost; empty if an endpoint that
   * has not reported its position may hold acknowledged commits that no candidate has received.
   *
   * @param silentReplicas the replicas that may have received commits and are not candidates,
   *     whether or not they are still members of the group
   * @param acknowledged a position that covers all acknowledged commits; empty if none is known
   */
  public Optional<String> afterLoss(
      Collection<Candidate> candidates, int silentReplicas, Optional<Position> acknowledged) {
    Optional<Position> mostAdvanced =
        candidates.stream().map(Candidate::received).max(Comparator.naturalOrder());
    Optional<Position> required =
        silentReplicas < synchronousReplicas ? mostAdvanced : acknowledged;
    return required.flatMap(position -> choose(candidates, position, false));
  }

  /**
   * Returns the id of the endpoint that replaces a primary that still works; empty if no candidate
   * that accepts work has received all acknowledged commits. The primary must not acknowledge
   * further ones.
   *
   * @param acknowledged a position that covers all acknowledged commits
   */
  public Optional<String> planned(Collection<Candidate> candidates, Position acknowledged) {
    return choose(candidates, acknowledged, true);
  }

  private static Optional<String> choose(
      Collection<Candidate> candidates, Position required, boolean onlyWorking) {
    return candidates.stream()
        .filter(candidate -> candidate.received().compareTo(required) >= 0)
        .filter(candidate -> candidate.mayWork() || !onlyWorking)
        .max(
            Comparator.comparing(Candidate::mayWork)
                .thenComparing(Candidate::received)
                .thenComparing(Candidate::endpointId, Comparator.reverseOrder()))
        .map(Candidate::endpointId);
  }
}
