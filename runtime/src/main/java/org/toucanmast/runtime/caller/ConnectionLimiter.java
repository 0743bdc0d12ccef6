package org.toucanmast.runtime.caller;

import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Limits the number of callers' connections and closes those that are idle. A connection that sends
 * the head of a request too slowly counts as idle.
 */
final class ConnectionLimiter {
  private static final class ConnectionUsage {
    private int runningRequests;
    private long idleSince;
  }

  private final int maximumConnections;
  private final long idleTimeoutInNanoseconds;
  private final LongSupplier clock;
  private final Map<HttpConnection, ConnectionUsage> connections = new HashMap<>();

  /**
   * Creates a limiter.
   *
   * @param maximumConnections the maximum number of open connections
   * @param idleTimeoutInNanoseconds the time without a running request after which a connection is
   *     closed
   * @param clock the present time, in nanoseconds
   */
  ConnectionLimiter(int maximumConnections, long idleTimeoutInNanoseconds, LongSupplier clock) {
    this.maximumConnections = maximumConnections;
    this.idleTimeoutInNanoseconds = idleTimeoutInNanoseconds;
    this.clock = clock;
  }

  /** Registers a new connection, or closes it when the maximum is reached. */
  void onOpen(HttpConnection connection) {
    if (connections.size() >= maximumConnections) {
      connection.close();
      return;
    }
    ConnectionUsage usage = new ConnectionUsage();
    usage.idleSince = clock.getAsLong();
    connections.put(connection, usage);
    connection.closeHandler(closed -> connections.remove(connection));
  }

  /** Registers a request whose head is complete. */
  void onRequest(HttpConnection connection) {
    ConnectionUsage usage = connections.get(connection);
    if (usage != null) {
      usage.runningRequests++;
    }
  }

  /** Registers the end of a response. */
  void onResponseEnd(HttpConnection connection) {
    ConnectionUsage usage = connections.get(connection);
    if (usage != null) {
      usage.runningRequests--;
      usage.idleSince = clock.getAsLong();
    }
  }

  /** Closes the connections that have been idle for longer than the timeout. */
  void closeExpired(long now) {
    for (Map.Entry<HttpConnection, ConnectionUsage> entry : List.copyOf(connections.entrySet())) {
      ConnectionUsage usage = entry.getValue();
      if (usage.runningRequests == 0 && now - usage.idleSince > idleTimeoutInNanoseconds) {
        entry.getKey().close();
      }
    }
  }
}
