package org.toucanmast.runtime.caller;

import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/** Bounds the number of callers' connections and closes those that are idle or trickle. */
final class ConnectionLimiter {
  private static final class Usage {
    private int running;
    private long idleSince;
  }

  private final int maximum;
  private final long idleTimeout;
  private final LongSupplier clock;
  private final Map<HttpConnection, Usage> connections = new HashMap<>();

  /**
   * Creates a limiter.
   *
   * @param maximum the most connections
   * @param idleTimeout the longest time without a complete request head, in nanoseconds
   */
  ConnectionLimiter(int maximum, long idleTimeout, LongSupplier clock) {
    this.maximum = maximum;
    this.idleTimeout = idleTimeout;
    this.clock = clock;
  }

  void onOpen(HttpConnection connection) {
    if (connections.size() >= maximum) {
      connection.close();
      return;
    }
    Usage usage = new Usage();
    usage.idleSince = clock.getAsLong();
    connections.put(connection, usage);
    connection.closeHandler(closed -> connections.remove(connection));
  }

  void onRequest(HttpConnection connection) {
    Usage usage = connections.get(connection);
    if (usage != null) {
      usage.running++;
    }
  }

  void onAnswered(HttpConnection connection) {
    Usage usage = connections.get(connection);
    if (usage != null) {
      usage.running--;
      usage.idleSince = clock.getAsLong();
    }
  }

  void tick(long now) {
    for (Map.Entry<HttpConnection, Usage> entry : List.copyOf(connections.entrySet())) {
      Usage usage = entry.getValue();
      if (usage.running == 0 && now - usage.idleSince > idleTimeout) {
        entry.getKey().close();
      }
    }
  }

  /** Closes every connection on which no request is running. */
  void closeIdle() {
    for (Map.Entry<HttpConnection, Usage> entry : List.copyOf(connections.entrySet())) {
      if (entry.getValue().running == 0) {
        entry.getKey().close();
      }
    }
  }
}
