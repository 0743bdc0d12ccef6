package org.toucanmast.core.gateway;

/**
 * How many connections a gateway opens to an endpoint.
 *
 * <p>The rest of the endpoint's limit is left for the connections of a gateway that has just
 * failed, which the endpoint keeps for some seconds, and for the VMs that read there meanwhile.
 */
public final class ConnectionBudget {
  /** Share of the endpoint's limit for the first gateway of a group. */
  private static final double FIRST_GATEWAY_SHARE = 0.75;

  /** How long no more connections are opened after the endpoint refused one, in milliseconds. */
  private static final long CAUTION_IN_MILLISECONDS = 500;

  private int ceiling;
  private long cautiousUntil = Long.MIN_VALUE;
  private int cautiousCeiling;

  /**
   * Creates a budget.
   *
   * @param maximumConnections the endpoint's limit over all VMs
   */
  public ConnectionBudget(int maximumConnections) {
    resize(maximumConnections);
  }

  /** Changes the endpoint's limit. */
  public void resize(int maximumConnections) {
    ceiling = Math.max(1, (int) (maximumConnections * FIRST_GATEWAY_SHARE));
  }

  /** Notes that the endpoint refused a connection while the given number was open. */
  public void refused(int open, long now) {
    cautiousCeiling = Math.max(1, open);
    cautiousUntil = now + CAUTION_IN_MILLISECONDS;
  }

  /** Returns the most connections to hold. */
  public int limit(long now) {
    return now < cautiousUntil ? Math.min(ceiling, cautiousCeiling) : ceiling;
  }
}
