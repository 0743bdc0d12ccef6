package org.toucanmast.core.catalog;

/**
 * An endpoint as it registered itself.
 *
 * @param id the endpoint's identity; an address may be used again by another endpoint
 * @param group the database group it belongs to
 * @param host its IP address
 * @param port its port
 * @param dataCentre where it runs
 * @param slots how many statements it runs at once
 * @param draining whether it is about to leave
 * @param claimsPrimary whether it believes that it leads
 * @param startedAt when it started, in milliseconds of the Unix epoch; 0 when unknown
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
  /** Refuses entries that cannot be used. */
  public EndpointEntry {
    if (id.isEmpty() || group.isEmpty() || host.isEmpty() || port <= 0 || slots <= 0) {
      throw new IllegalArgumentException("unusable endpoint entry: " + id);
    }
  }

  /** Returns whether another entry describes the same run of the same endpoint. */
  public boolean isSameRun(EndpointEntry other) {
    return id.equals(other.id)
        && host.equals(other.host)
        && port == other.port
        && startedAt == other.startedAt;
  }
}
