package org.toucanmast.runtime.endpoint;

import com.google.common.net.HostAndPort;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucanmast.core.fairness.FairQueue;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.runtime.endpoint.EndpointException.Kind;

/**
 * This VM's connections to one endpoint, and the work that waits for them, fairly by customer.
 *
 * <p>All methods are called on the requests duty's thread.
 */
public final class EndpointPool {
  private static final int QUANTUM = 1;
  private static final long CONNECT_TIMEOUT_IN_MILLISECONDS = 1_000;
  private static final long BACKOFF_IN_NANOSECONDS = 50_000_000;

  private record Waiting(Promise<EndpointConnection> promise, long deadline) {}

  private final String endpoint;
  private final String vm;
  private final HostAndPort address;
  private final HttpClientAgent client;
  private final LongSupplier clock;
  private final FairQueue<Waiting> waiting;
  private final Deque<EndpointConnection> idle = new ArrayDeque<>();
  private int limit;
  private int open;
  private int opening;
  private long retryAt;
  private boolean failing;

  /**
   * Creates a pool without connections.
   *
   * @param vm the name of this VM
   * @param maximumWaiting the most requests of one customer that wait
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

  /** Sets the most connections that this VM may have; surplus ones close when they are idle. */
  public void setLimit(int connections) {
    limit = connections;
    pump();
  }

  /** Returns how many requests wait or run. */
  public int load() {
    return waiting.size() + open - idle.size();
  }

  /**
   * Waits for a connection.
   *
   * @param deadline when waiting ends, in nanoseconds
   * @return a connection to be released; fails with {@link RefusedException} when too much waits or
   *     the deadline passed, and with {@link EndpointException} when none can be opened
   */
  public Future<EndpointConnection> acquire(String customer, long deadline) {
    Promise<EndpointConnection> promise = Promise.promise();
    if (!waiting.offer(customer, new Waiting(promise, deadline), 1)) {
      return Future.failedFuture(new RefusedException(Refusal.QUEUE_FULL));
    }
    pump();
    return promise.future();
  }

  /** Gives a connection back. */
  public void release(EndpointConnection connection) {
    if (connection.isBroken() || open > limit) {
      discard(connection);
    } else {
      connection.touch(clock.getAsLong());
      idle.addFirst(connection);
    }
    pump();
  }

  /** Refuses work past its deadline, and closes connections that were idle for long. */
  public void tick(long now, long idleTimeout) {
    waiting
        .removeIf(request -> now - request.deadline() >= 0)
        .forEach(late -> late.promise().fail(new RefusedException(Refusal.UNAVAILABLE)));
    while (!idle.isEmpty()
        && (idle.peekLast().isBroken() || now - idle.peekLast().idleSince() > idleTimeout)) {
      discard(idle.pollLast());
    }
    pump();
  }

  /** Sends all waiting work back, so that it is routed anew; none of it was sent. */
  public void sendBackWaiting(String reason) {
    waiting
        .removeIf(request -> true)
        .forEach(each -> each.promise().fail(new EndpointException(Kind.NOT_SENT, reason)));
  }

  /** Closes all idle connections and sends all waiting work back. */
  public void close() {
    limit = 0;
    sendBackWaiting(endpoint + " was removed");
    while (!idle.isEmpty()) {
      discard(idle.pollLast());
    }
  }

  private void discard(EndpointConnection connection) {
    connection.close();
    open--;
  }

  private void pump() {
    while (waiting.size() > 0 && !idle.isEmpty()) {
      EndpointConnection connection = idle.pollFirst();
      if (connection.isBroken()) {
        discard(connection);
        continue;
      }
      waiting.poll().ifPresent(next -> next.promise().complete(connection));
    }
    boolean backedOff = failing && clock.getAsLong() - retryAt < 0;
    while (waiting.size() > opening && open + opening < limit && !backedOff) {
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

  /** Describes the pool, for operators. */
  public String describe() {
    return String.format(
        "limit %d, open %d, idle %d, opening %d, waiting %d",
        limit, open, idle.size(), opening, waiting.size());
  }

  private void onConnected(HttpClientConnection connection) {
    opening--;
    open++;
    failing = false;
    idle.addLast(new EndpointConnection(endpoint, vm, connection, clock.getAsLong()));
    pump();
  }

  private void onConnectFailed(Throwable cause) {
    opening--;
    failing = true;
    retryAt = clock.getAsLong() + BACKOFF_IN_NANOSECONDS;
    if (open == 0) {
      sendBackWaiting(String.valueOf(cause));
    }
  }
}
