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
 * One connection to an endpoint, used for one call at a time.
 *
 * <p>A connection whose call failed is broken: it is closed and never used again, so that a late
 * answer can reach nobody.
 */
public final class EndpointConnection {
  /** Names the calling VM to an endpoint. */
  static final String VM_HEADER = "Vm-Name";

  private static final AtomicLong CALL_IDS = new AtomicLong();
  private static final int OK = 200;
  private static final long GRACE_IN_MILLISECONDS = 50;

  private final String endpoint;
  private final String vm;
  private final HttpClientConnection connection;
  private boolean broken;
  private long usedAt;

  EndpointConnection(String endpoint, String vm, HttpClientConnection connection, long now) {
    this.endpoint = endpoint;
    this.vm = vm;
    this.connection = connection;
    this.usedAt = now;
    connection.closeHandler(closed -> broken = true);
  }

  /** Returns the endpoint's name. */
  public String endpoint() {
    return endpoint;
  }

  /** Tells whether the connection must not be used again. */
  public boolean isBroken() {
    return broken;
  }

  /** Notes that the connection was used. */
  void touch(long now) {
    usedAt = now;
  }

  long idleSince() {
    return usedAt;
  }

  /** Closes the connection; an open transaction on it is rolled back by the endpoint. */
  public void close() {
    broken = true;
    connection.close();
  }

  /**
   * Makes one call.
   *
   * @param timeoutInMilliseconds after which the connection is closed
   * @return the answer; fails with {@link EndpointException}, a moment after the timeout at the
   *     latest
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
        .recover(cause -> fail(Kind.NOT_SENT, cause))
        .compose(request -> send(request, call, callId))
        .timeout(Math.max(1, timeoutInMilliseconds) + GRACE_IN_MILLISECONDS, TimeUnit.MILLISECONDS)
        .recover(
            cause ->
                cause instanceof EndpointException
                    ? Future.failedFuture(cause)
                    : fail(Kind.NO_ANSWER, cause))
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
        .recover(cause -> fail(Kind.NO_ANSWER, cause))
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

  private static <T> Future<T> fail(Kind kind, Throwable cause) {
    return Future.failedFuture(new EndpointException(kind, String.valueOf(cause.getMessage())));
  }
}
