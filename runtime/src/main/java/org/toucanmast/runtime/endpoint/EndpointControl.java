package org.toucanmast.runtime.endpoint;

import com.google.common.net.HostAndPort;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import org.toucanmast.core.configuration.EndpointDescription;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.runtime.endpoint.EndpointException.Kind;

/**
 * The group interface of endpoints: status, fencing and promotion. A database without fencing would
 * be met by another implementation of these three calls.
 */
public final class EndpointControl {
  private static final int OK = 200;
  private final HttpClientAgent client;
  private final String vm;

  /** What an endpoint answered to a fence or a promotion. */
  public record Verdict(boolean granted, EndpointStatus status) {}

  /**
   * Creates the interface on a client whose connections are apart from those for requests.
   *
   * @param vm the name of this VM, told to endpoints for their logs
   */
  public EndpointControl(HttpClientAgent client, String vm) {
    this.client = client;
    this.vm = vm;
  }

  /** Asks an endpoint for its status. */
  public Future<EndpointStatus> status(EndpointDescription endpoint, long timeoutInMilliseconds) {
    return call(endpoint, "/status", new JsonObject(), timeoutInMilliseconds)
        .compose(json -> parse(endpoint, json))
        .map(Verdict::status);
  }

  /**
   * Asks an endpoint to accept nothing of lower terms any more.
   *
   * @param orderer who orders it; the same orderer may repeat the call
   */
  public Future<Verdict> fence(
      EndpointDescription endpoint, long term, String orderer, long timeoutInMilliseconds) {
    return order(endpoint, "/fence", term, orderer, timeoutInMilliseconds);
  }

  /** Asks a fenced endpoint to be the primary of the term. */
  public Future<Verdict> promote(
      EndpointDescription endpoint, long term, String orderer, long timeoutInMilliseconds) {
    return order(endpoint, "/promote", term, orderer, timeoutInMilliseconds);
  }

  private Future<Verdict> order(
      EndpointDescription endpoint, String path, long term, String orderer, long timeout) {
    JsonObject body = new JsonObject().put("term", term).put("orderer", orderer);
    return call(endpoint, path, body, timeout).compose(json -> parse(endpoint, json));
  }

  private Future<JsonObject> call(
      EndpointDescription endpoint, String path, JsonObject body, long timeout) {
    HostAndPort address = HostAndPort.fromString(endpoint.address());
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(address.getHost())
            .setPort(address.getPort())
            .setURI(path)
            .putHeader(EndpointConnection.VM_HEADER, vm)
            .setConnectTimeout(timeout)
            .setTimeout(timeout);
    Buffer content = body.toBuffer();
    return client
        .request(options)
        .compose(request -> request.send(content))
        .compose(
            response ->
                response.statusCode() == OK
                    ? response.body()
                    : Future.failedFuture("status " + response.statusCode()))
        .map(Buffer::toJsonObject)
        .recover(
            cause ->
                Future.failedFuture(
                    new EndpointException(Kind.NO_ANSWER, String.valueOf(cause.getMessage()))));
  }

  private static Future<Verdict> parse(EndpointDescription endpoint, JsonObject json) {
    try {
      EndpointStatus status = EndpointJson.toStatus(endpoint.name(), json.getJsonObject("status"));
      return Future.succeededFuture(new Verdict(json.getBoolean("granted", true), status));
    } catch (ClassCastException | NullPointerException | IllegalArgumentException e) {
      return Future.failedFuture(new EndpointException(Kind.NO_ANSWER, e.getMessage()));
    }
  }
}
