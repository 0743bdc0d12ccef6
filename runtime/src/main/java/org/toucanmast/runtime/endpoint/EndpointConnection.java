package org.toucanmast.runtime.endpoint;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.toucanmast.runtime.endpoint.EndpointException.Kind;

/**
 * A connection to an endpoint, used for one call at a time.
 *
 * <p>A connection whose call failed is closed and not used again, so that a late reply cannot be
 * taken for the reply to another call.
 */
public final class EndpointConnection {
  /** The request header with the name of the calling VM. */
  static final String VM_HEADER = "Vm-Name";

  private static final AtomicLong CALL_IDS = new AtomicLong();
  private static final int OK = 200;

  /** Lets the timeout of the HTTP request fire before that of the whole call. */
  private static final long TIMEOUT_MARGIN_IN_MILLISECONDS = 50;

  private final String endpoint;
  private final String vm;
  private final HttpClientConnection connection;
  private boolean broken;
  private long lastUsedAt;

  EndpointConnection(String endpoint, String vm, HttpClientConnection connection, long now) {
    this.endpoint = endpoint;
    this.vm = vm;
    this.connection = connection;
    this.lastUsedAt = now;
    connection.closeHandler(closed -> broken = true);
  }

  /** Returns the endpoint's name. */
  public String endpoint() {
    return endpoint;
  }

  /** Returns whether the connection is closed or closing and must not be used again. */
  public boolean isBroken() {
    return broken;
  }

  /** Sets the time of the last use, in nanoseconds. */
  void markUsed(long now) {
    lastUsedAt = now;
  }

  /** Returns the time of the last use, in nanoseconds. */
  long lastUsedAt() {
    return lastUsedAt;
  }

  /** Closes the connection; the endpoint then rolls back a transaction that is open on it. */
  public void close() {
    broken = true;
    connection.close();
  }

  /**
   * Sends a call.
   *
   * @param timeoutInMilliseconds the time after which the call fails and the connection is closed
   * @return the reply; fails with {@link EndpointException} at most 50 ms after the timeout
   */
  public Future<EndpointReply> call(EndpointCall call, long timeoutInMilliseconds) {
    long callId = CALL_IDS.incrementAndGet();
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setURI("/call")
            .putHeader(VM_HEADER, vm)
            .setTimeout(Math.max(1, timeoutInMilliseconds));
    return connection
        .request(options)
        .recover(cause -> failedFuture(Kind.NOT_SENT, cause))
        .compose(request -> send(request, call, callId))
        .timeout(
            Math.max(1, timeoutInMilliseconds) + TIMEOUT_MARGIN_IN_MILLISECONDS,
            TimeUnit.MILLISECONDS)
        .recover(
            cause ->
                cause instanceof EndpointException
                    ? Future.failedFuture(cause)
                    : failedFuture(Kind.NO_ANSWER, cause))
        .onFailure(cause -> close());
  }

  private Future<EndpointReply> send(HttpClientRequest request, EndpointCall call, long callId) {
    return request
        .send(EndpointJson.ofCall(call, callId).toBuffer())
        .compose(
            response ->
                response.statusCode() == OK
                    ? response.body()
                    : Future.failedFuture("status " + response.statusCode()))
        .recover(cause -> failedFuture(Kind.NO_ANSWER, cause))
        .compose(
            body -> {
              try {
                return Future.succeededFuture(
                    EndpointJson.toReply(endpoint, body.toString(), callId));
              } catch (EndpointException e) {
                return Future.failedFuture(e);
              }
            });
  }

  private static <T> Future<T> failedFuture(Kind kind, Throwable cause) {
    return Future.failedFuture(new EndpointException(kind, String.valueOf(cause.getMessage())));
  }
}
