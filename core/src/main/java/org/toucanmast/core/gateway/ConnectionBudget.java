package org.toucanmast.core.gateway;

/**
 * How many connections a gateway opens to an endpoint.
 *
 * <p>The rest of the endpoint's limit is left for the connections of a gateway that has just
 * failed, which the endpoint keeps for some seconds, and for the VMs that read there meanwhile.
 */
public final class ConnectionBudget {
  /** Share of a primary's limit: transactions that write keep their connections there. */
  private static final double PRIMARY_SHARE = 0.75;

  /** Share of a replica's limit. */
  private static final double REPLICA_SHARE = 0.5;

  /** How long no more connections are opened after the endpoint refused one, in milliseconds. */
  private static final long CAUTION_IN_MILLISECONDS = 500;

  private int maximumConnections;
  private long cautiousUntil = Long.MIN_VALUE;
  private int cautiousCeiling;

  /**
   * Creates a budget.
   *
   * @param maximumConnections the endpoint's limit over all VMs
   */
  public ConnectionBudget(int maximumConnections) {
    this.maximumConnections = maximumConnections;
  }

  /** Changes the endpoint's limit. */
  public void resize(int newMaximumConnections) {
    maximumConnections = newMaximumConnections;
  }

  /** Notes that the endpoint refused a connection while the given number was open. */
  public void refused(int open, long now) {
    cautiousCeiling = Math.max(1, open);
    cautiousUntil = now + CAUTION_IN_MILLISECONDS;
  }

  /**
   * Returns the most connections to hold.
   *
   * @param leads whether the endpoint leads its group
   */
  public int limit(boolean leads, long now) {
    double share = leads ? PRIMARY_SHARE : REPLICA_SHARE;
    int ceiling = Math.max(1, (int) (maximumConnections * share));
    return now < cautiousUntil ? Math.min(ceiling, cautiousCeiling) : ceiling;
  }
}
