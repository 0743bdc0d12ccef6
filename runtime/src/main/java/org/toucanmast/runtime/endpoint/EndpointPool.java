package org.toucanmast.runtime.endpoint;

import com.google.common.net.HostAndPort;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucanmast.core.fairness.FairQueue;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.runtime.endpoint.EndpointException.Kind;

/**
 * This VM's connections to one endpoint, and the queue of requests that wait for one. The queue is
 * fair between customers.
 *
 * <p>All methods are called on the request event loop.
 */
public final class EndpointPool {
  private static final int QUANTUM = 1;
  private static final long CONNECT_TIMEOUT_IN_MILLISECONDS = 1_000;
  private static final long RECONNECT_DELAY_IN_NANOSECONDS = 50_000_000;

  private record PendingRequest(Promise<EndpointConnection> promise, long deadline) {}

  private final String endpoint;
  private final String vm;
  private final HostAndPort address;
  private final HttpClientAgent client;
  private final LongSupplier clock;
  private final FairQueue<PendingRequest> waiting;
  private final Deque<EndpointConnection> idle = new ArrayDeque<>();
  private final Set<EndpointConnection> acquired = new HashSet<>();
  private int limit;
  private int open;
  private int opening;
  private long reconnectAt;
  private boolean lastConnectFailed;

  /**
   * Creates a pool without connections.
   *
   * @param vm the name of this VM
   * @param maximumWaiting the maximum number of waiting requests of one customer
   * @param clock the present time, in nanoseconds
   */
  public EndpointPool(
      String endpoint,
      String vm,
      String address,
      HttpClientAgent client,
      int maximumWaiting,
      LongSupplier clock) {
    this.endpoint = endpoint;
    this.vm = vm;
    this.address = HostAndPort.fromString(address);
    this.client = client;
    this.clock = clock;
    this.waiting = new FairQueue<>(maximumWaiting, QUANTUM);
  }

  /** Sets the maximum number of connections; those above it are closed when they are released. */
  public void setLimit(int connections) {
    limit = connections;
    assignConnections();
  }

  /** Returns the number of waiting and running requests. */
  public int load() {
    return waiting.size() + open - idle.size();
  }

  /**
   * Acquires a connection, waiting for one if none is idle.
   *
   * @param deadline the time until which the request may wait, in nanoseconds
   * @return a connection, which must be released; fails with {@link RefusedException} when the
   *     customer's queue is full or the deadline has passed, and with {@link EndpointException}
   *     when no connection can be opened
   */
  public Future<EndpointConnection> acquire(String customer, long deadline) {
    Promise<EndpointConnection> promise = Promise.promise();
    if (!waiting.offer(customer, new PendingRequest(promise, deadline), 1)) {
      return Future.failedFuture(new RefusedException(Refusal.QUEUE_FULL));
    }
    assignConnections();
    return promise.future();
  }

  /** Returns a connection to the pool. */
  public void release(EndpointConnection connection) {
    acquired.remove(connection);
    if (connection.isBroken() || open > limit) {
      discard(connection);
    } else {
      connection.markUsed(clock.getAsLong());
      idle.addFirst(connection);
    }
    assignConnections();
  }

  /**
   * Refuses requests whose deadline has passed and closes connections that were idle for too long.
   *
   * @param now the present time, in nanoseconds
   * @param idleTimeout the time without a call after which a connection is closed, in nanoseconds
   */
  public void tick(long now, long idleTimeout) {
    waiting
        .removeIf(request -> now - request.deadline() >= 0)
        .forEach(expired -> expired.promise().fail(new RefusedException(Refusal.UNAVAILABLE)));
    while (!idle.isEmpty()
        && (idle.peekLast().isBroken() || now - idle.peekLast().lastUsedAt() > idleTimeout)) {
      discard(idle.pollLast());
    }
    assignConnections();
  }

  /** Fails all waiting requests as not sent, so that they are routed again. */
  public void failWaiting(String reason) {
    waiting
        .removeIf(request -> true)
        .forEach(request -> request.promise().fail(new EndpointException(Kind.NOT_SENT, reason)));
  }

  /**
   * Closes the connections that requests and transactions hold; their running calls fail as not
   * answered.
   */
  public void closeAcquired() {
    List.copyOf(acquired).forEach(EndpointConnection::close);
  }

  /** Closes all idle connections and fails all waiting requests as not sent. */
  public void close() {
    limit = 0;
    failWaiting(endpoint + " was removed");
    while (!idle.isEmpty()) {
      discard(idle.pollLast());
    }
  }

  private void discard(EndpointConnection connection) {
    connection.close();
    open--;
  }

  private void assignConnections() {
    while (waiting.size() > 0 && !idle.isEmpty()) {
      EndpointConnection connection = idle.pollFirst();
      if (connection.isBroken()) {
        discard(connection);
        continue;
      }
      waiting
          .poll()
          .ifPresent(
              next -> {
                acquired.add(connection);
                next.promise().complete(connection);
              });
    }
    boolean inBackoff = lastConnectFailed && clock.getAsLong() - reconnectAt < 0;
    while (waiting.size() > opening && open + opening < limit && !inBackoff) {
      opening++;
      connect();
    }
  }

  private void connect() {
    Future<HttpClientConnection> connecting =
        client.connect(
            new HttpConnectOptions()
                .setHost(address.getHost())
                .setPort(address.getPort())
                .setConnectTimeout(CONNECT_TIMEOUT_IN_MILLISECONDS));
    connecting
        .timeout(2 * CONNECT_TIMEOUT_IN_MILLISECONDS, TimeUnit.MILLISECONDS)
        .onSuccess(this::onConnected)
        .onFailure(
            cause -> {
              connecting.onSuccess(HttpClientConnection::close);
              onConnectFailed(cause);
            });
  }

  /** Returns the state of the pool for the status report. */
  public String describe() {
    return String.format(
        "limit %d, open %d, idle %d, opening %d, waiting %d",
        limit, open, idle.size(), opening, waiting.size());
  }

  private void onConnected(HttpClientConnection connection) {
    opening--;
    open++;
    lastConnectFailed = false;
    idle.addLast(new EndpointConnection(endpoint, vm, connection, clock.getAsLong()));
    assignConnections();
  }

  private void onConnectFailed(Throwable cause) {
    opening--;
    lastConnectFailed = true;
    reconnectAt = clock.getAsLong() + RECONNECT_DELAY_IN_NANOSECONDS;
    if (open == 0) {
      failWaiting(String.valueOf(cause));
    }
  }
}
