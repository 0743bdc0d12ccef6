package org.toucanmast.standin.database;

/**
 * How an endpoint behaves.
 *
 * @param slots requests that it runs at once
 * @param connections connections for requests that it accepts
 * @param connectMilliseconds how long the first request on a connection is delayed
 * @param serviceMicroseconds how long a request runs
 * @param lagMilliseconds how late it follows the primary
 */
public record EndpointSettings(
    int slots,
    int connections,
    long connectMilliseconds,
    long serviceMicroseconds,
    long lagMilliseconds) {

  /** Returns the same settings with another lag. */
  public EndpointSettings withLag(long milliseconds) {
    return new EndpointSettings(
        slots, connections, connectMilliseconds, serviceMicroseconds, milliseconds);
  }

  /** Returns the same settings with another time of service. */
  public EndpointSettings withService(long microseconds) {
    return new EndpointSettings(
        slots, connections, connectMilliseconds, microseconds, lagMilliseconds);
  }
}
