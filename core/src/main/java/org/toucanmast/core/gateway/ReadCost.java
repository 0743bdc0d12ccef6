package org.toucanmast.core.gateway;

/**
 * Compares endpoints that may all serve a read; the cheapest one runs it.
 *
 * <p>Load pattern: many reads and few writes. While the endpoints have slots free, a read stays in
 * the gateway's data centre, which saves a round trip and bytes between data centres. Under load it
 * goes wherever it completes first, so that the nearest endpoint is not the only busy one. Reads
 * leave the slots of the primary to writes.
 *
 * @param load the ratio of running statements to slots, or to those that the endpoint serves well
 * @param slowness the factor by which the read is expected to take longer than at the fastest
 *     endpoint; 1 where that is not known
 * @param hasIdleConnection whether a connection of the customer is idle
 * @param isPrimary whether the endpoint is the primary
 * @param isLocal whether the endpoint is in the gateway's data centre
 */
public record ReadCost(
    double load, double slowness, boolean hasIdleConnection, boolean isPrimary, boolean isLocal) {
  /** Cost of a read that finds out whether an endpoint has recovered; lower than any other. */
  public static final double PROBE = -1;

  /**
   * Load added where a connection must be opened, which takes about a third of a slot for the time
   * of a statement.
   */
  private static final double COST_OF_NEW_CONNECTION = 0.3;

  /**
   * Load added for the primary: reads leave its slots to writes while the load of a replica is
   * higher by no more than this.
   */
  private static final double COST_OF_PRIMARY = 0.6;

  /** Load added for another data centre; less than one statement adds at an endpoint. */
  private static final double COST_OF_OTHER_DATA_CENTRE = 0.15;

  /** Compares endpoints by their load alone. */
  public ReadCost(double load, boolean hasIdleConnection, boolean isPrimary, boolean isLocal) {
    this(load, 1, hasIdleConnection, isPrimary, isLocal);
  }

  /**
   * Returns the cost, in units of the load: the statements ahead and the read itself, each as long
   * as the endpoint is slow.
   */
  public double value() {
    return load
        + (1 + load) * (slowness - 1)
        + (hasIdleConnection ? 0 : COST_OF_NEW_CONNECTION)
        + (isPrimary ? COST_OF_PRIMARY : 0)
        + (isLocal ? 0 : COST_OF_OTHER_DATA_CENTRE);
  }
}
