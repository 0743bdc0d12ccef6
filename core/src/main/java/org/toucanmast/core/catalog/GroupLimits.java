package org.toucanmast.core.catalog;

/**
 * What holds for the endpoints of a database group.
 *
 * @param maximumConnections the most connections that an endpoint takes from all VMs together
 */
public record GroupLimits(int maximumConnections) {
  /** Refuses a limit that leaves no connection. */
  public GroupLimits {
    if (maximumConnections < 1) {
      throw new IllegalArgumentException("no connection allowed: " + maximumConnections);
    }
  }
}
