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
 * Client for the control calls of endpoints: status, fencing and promotion. A database without
 * fencing needs another implementation of these three calls. Failed futures carry an {@link
 * EndpointException}.
 */
public final class EndpointControl {
  private static final int OK = 200;
  private final HttpClientAgent client;
  private final String vm;

  /**
   * The reply of an endpoint to a control call.
   *
   * @param granted whether the endpoint did what was requested
   * @param status the status of the endpoint after the call
   */
  public record ControlReply(boolean granted, EndpointStatus status) {}

  /**
   * Creates a client.
   *
   * @param client an HTTP client with connections of its own, not those of callers' requests
   * @param vm the name of this VM, which endpoints write to their logs
   */
  public EndpointControl(HttpClientAgent client, String vm) {
    this.client = client;
    this.vm = vm;
  }

  /** Requests the status of an endpoint. */
  public Future<EndpointStatus> status(EndpointDescription endpoint, long timeoutInMilliseconds) {
    return call(endpoint, "/status", new JsonObject(), timeoutInMilliseconds)
        .compose(json -> parse(endpoint, json))
        .map(ControlReply::status);
  }

  /**
   * Fences an endpoint: it no longer accepts calls of lower terms.
   *
   * @param orderer identifies the promotion; an endpoint grants a term to one orderer only, which
   *     may repeat the call
   */
  public Future<ControlReply> fence(
      EndpointDescription endpoint, long term, String orderer, long timeoutInMilliseconds) {
    return sendOrder(endpoint, "/fence", term, orderer, timeoutInMilliseconds);
  }

  /** Makes a fenced endpoint the primary of the term. */
  public Future<ControlReply> promote(
      EndpointDescription endpoint, long term, String orderer, long timeoutInMilliseconds) {
    return sendOrder(endpoint, "/promote", term, orderer, timeoutInMilliseconds);
  }

  private Future<ControlReply> sendOrder(
      EndpointDescription endpoint,
      String path,
      long term,
      String orderer,
      long timeoutInMilliseconds) {
    JsonObject body = new JsonObject().put("term", term).put("orderer", orderer);
    return call(endpoint, path, body, timeoutInMilliseconds).compose(json -> parse(endpoint, json));
  }

  private Future<JsonObject> call(
      EndpointDescription endpoint, String path, JsonObject body, long timeoutInMilliseconds) {
    HostAndPort address = HostAndPort.fromString(endpoint.address());
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(address.getHost())
            .setPort(address.getPort())
            .setURI(path)
            .putHeader(EndpointConnection.VM_HEADER, vm)
            .setConnectTimeout(timeoutInMilliseconds)
            .setTimeout(timeoutInMilliseconds);
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

  private static Future<ControlReply> parse(EndpointDescription endpoint, JsonObject json) {
    try {
      EndpointStatus status = EndpointJson.toStatus(endpoint.name(), json.getJsonObject("status"));
      return Future.succeededFuture(new ControlReply(json.getBoolean("granted", true), status));
    } catch (ClassCastException | NullPointerException | IllegalArgumentException e) {
      return Future.failedFuture(new EndpointException(Kind.NO_ANSWER, e.getMessage()));
    }
  }
}
