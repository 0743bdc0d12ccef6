package org.toucanmast.standin.database;

/**
 * The capacity and the delays of a stand-in endpoint.
 *
 * @param slots the maximum number of calls that run concurrently
 * @param connections the maximum number of connections for calls
 * @param connectMilliseconds the delay of the first call on a connection, in milliseconds
 * @param serviceMicroseconds the service time of a call, in microseconds; whole milliseconds are
 *     used, a time below 1 ms occupies the slot until the next pass of the event loop
 * @param lagMilliseconds the replication lag behind the primary, in milliseconds
 */
public record EndpointSettings(
    int slots,
    int connections,
    long connectMilliseconds,
    long serviceMicroseconds,
    long lagMilliseconds) {

  /** Returns a copy of these settings with the given replication lag. */
  public EndpointSettings withLag(long milliseconds) {
    return new EndpointSettings(
        slots, connections, connectMilliseconds, serviceMicroseconds, milliseconds);
  }

  /** Returns a copy of these settings with the given service time. */
  public EndpointSettings withServiceTime(long microseconds) {
    return new EndpointSettings(
        slots, connections, connectMilliseconds, microseconds, lagMilliseconds);
  }
}
