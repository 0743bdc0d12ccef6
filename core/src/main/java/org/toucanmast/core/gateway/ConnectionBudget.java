package org.toucanmast.core.gateway;

/**
 * Limits the number of connections that a gateway opens to an endpoint.
 *
 * <p>The rest of the endpoint's connection limit is reserved for the connections of a gateway that
 * has just failed, which the endpoint keeps open for some seconds, and for other VMs that read from
 * the endpoint during that time.
 */
public final class ConnectionBudget {
  /**
   * Fraction of a primary's connection limit. It is larger than that of a replica, because
   * read-write transactions hold their connections at the primary.
   */
  private static final double PRIMARY_FRACTION = 0.75;

  /** Fraction of a replica's connection limit. */
  private static final double REPLICA_FRACTION = 0.5;

  /** Time after a refused connection during which no additional connections are opened. */
  private static final long HOLD_AFTER_REFUSAL_IN_MILLISECONDS = 500;

  private int maximumConnections;
  private long heldUntil = Long.MIN_VALUE;
  private int heldCeiling;

  /**
   * Creates a budget.
   *
   * @param maximumConnections the endpoint's connection limit for all VMs together
   */
  public ConnectionBudget(int maximumConnections) {
    this.maximumConnections = maximumConnections;
  }

  /** Changes the endpoint's connection limit for all VMs together. */
  public void resize(int newMaximumConnections) {
    maximumConnections = newMaximumConnections;
  }

  /**
   * Records that the endpoint refused a connection.
   *
   * @param open the number of connections that were open at that time
   * @param now the current time, in milliseconds
   */
  public void onConnectionRefused(int open, long now) {
    heldCeiling = Math.max(1, open);
    heldUntil = now + HOLD_AFTER_REFUSAL_IN_MILLISECONDS;
  }

  /**
   * Returns the maximum number of connections to hold open, at least 1.
   *
   * @param isPrimary whether the endpoint is the primary of its group
   * @param now the current time, in milliseconds
   */
  public int limit(boolean isPrimary, long now) {
    double fraction = isPrimary ? PRIMARY_FRACTION : REPLICA_FRACTION;
    int ceiling = Math.max(1, (int) (maximumConnections * fraction));
    return now < heldUntil ? Math.min(ceiling, heldCeiling) : ceiling;
  }
}
