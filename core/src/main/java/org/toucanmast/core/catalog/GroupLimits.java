package org.toucanmast.core.catalog;

/**
 * The limits of each endpoint of a database group.
 *
 * @param maximumConnections the maximum number of connections to one endpoint from all VMs together
 */
public record GroupLimits(int maximumConnections) {
  /**
   * Creates limits.
   *
   * @throws IllegalArgumentException when {@code maximumConnections} is less than 1
   */
  public GroupLimits {
    if (maximumConnections < 1) {
      throw new IllegalArgumentException(
          "maximumConnections must be at least 1: " + maximumConnections);
    }
  }
}
