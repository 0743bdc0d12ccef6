package org.toucanmast.core.catalog;

/**
 * The entry under which an endpoint registered itself in the store.
 *
 * @param id the endpoint's identity; the address does not identify it, because another endpoint may
 *     use the same address later
 * @param group the database group it belongs to
 * @param host its IP address
 * @param port its port
 * @param dataCentre the name of its data centre
 * @param slots the number of statements that it runs concurrently
 * @param draining whether it is about to be removed
 * @param claimsPrimary whether it considers itself the primary of its group
 * @param startedAt the start time in milliseconds since the Unix epoch; 0 when unknown
 */
public record EndpointEntry(
    String id,
    String group,
    String host,
    int port,
    String dataCentre,
    int slots,
    boolean draining,
    boolean claimsPrimary,
    long startedAt) {
  private static final int HIGHEST_PORT = 65_535;

  /**
   * Creates an entry.
   *
   * @throws IllegalArgumentException when the id, group, host or data centre is empty, the port is
   *     not one that can be connected to, or the number of slots is not positive
   * @throws NullPointerException when the id, group, host or data centre is null
   */
  public EndpointEntry {
    if (id.isEmpty() || group.isEmpty() || host.isEmpty() || dataCentre.isEmpty()) {
      throw new IllegalArgumentException(
          "endpoint entry: expected id, group, host and data centre but one is empty: " + id);
    }
    if (port < 1 || port > HIGHEST_PORT || slots < 1) {
      throw new IllegalArgumentException(
          "endpoint entry "
              + id
              + ": expected a port from 1 to "
              + HIGHEST_PORT
              + " and slots but was "
              + port
              + " and "
              + slots);
    }
  }

  /**
   * Returns whether another entry describes the same process of the same endpoint, that is, without
   * a restart in between.
   */
  public boolean isSameRun(EndpointEntry other) {
    return id.equals(other.id)
        && host.equals(other.host)
        && port == other.port
        && startedAt == other.startedAt;
  }
}
