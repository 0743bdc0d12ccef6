package org.toucanmast.core.gateway;

/**
 * Compares endpoints that may all serve a read; the cheapest one runs it.
 *
 * <p>Load pattern: many reads and few writes. While the endpoints have slots free, a read stays in
 * the gateway's data centre, which saves a round trip and bytes between data centres. Under load it
 * goes wherever it waits least, so that the nearest endpoint is not the only busy one. Reads leave
 * the slots of the primary to writes.
 *
 * @param load the ratio of running statements to slots
 * @param hasIdleConnection whether a connection of the customer is idle
 * @param isPrimary whether the endpoint is the primary
 * @param isLocal whether the endpoint is in the gateway's data centre
 */
public record ReadCost(double load, boolean hasIdleConnection, boolean isPrimary, boolean isLocal) {
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

  /** Returns the cost, in units of the load. */
  public double value() {
    return load
        + (hasIdleConnection ? 0 : COST_OF_NEW_CONNECTION)
        + (isPrimary ? COST_OF_PRIMARY : 0)
        + (isLocal ? 0 : COST_OF_OTHER_DATA_CENTRE);
  }
}
