package org.toucanmast.core.catalog;

/**
 * The limits of each endpoint of a database group, and what its commits wait for.
 *
 * @param maximumConnections the maximum number of connections to one endpoint from all VMs together
 * @param synchronousReplicas the number of replicas that have received a commit before it is
 *     acknowledged
 */
public record GroupLimits(int maximumConnections, int synchronousReplicas) {
  /**
   * Creates limits.
   *
   * @throws IllegalArgumentException when {@code maximumConnections} is less than 1 or {@code
   *     synchronousReplicas} is negative
   */
  public GroupLimits {
    if (maximumConnections < 1) {
      throw new IllegalArgumentException(
          "maximumConnections must be at least 1: " + maximumConnections);
    }
    if (synchronousReplicas < 0) {
      throw new IllegalArgumentException(
          "synchronousReplicas must not be negative: " + synchronousReplicas);
    }
  }
}
