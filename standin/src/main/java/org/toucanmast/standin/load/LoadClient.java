package org.toucanmast.standin.load;

import com.google.common.net.HostAndPort;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** HTTP client that sends the requests of simulated callers to VMs. */
public final class LoadClient {
  private static final int MAXIMUM_CONNECTIONS_PER_VM = 256;
  private static final long REQUEST_TIMEOUT_IN_MILLISECONDS = 20_000;

  /**
   * The answer to a request as the caller observed it.
   *
   * @param outcome ran, not-run or unknown
   * @param code the code of the refusal; no-answer if no response came, bad-answer if its body is
   *     not JSON; an empty text otherwise
   * @param token the session token, or null if the response carries none
   * @param body the body of the response; if no response came, an object with a message
   * @param status the HTTP status, or 0 if no response came
   */
  public record Answer(String outcome, String code, String token, JsonObject body, int status) {
    /** Returns the first row, or an empty text if there is none. */
    public String row() {
      JsonArray rows = body.getJsonArray("rows", new JsonArray());
      return rows.isEmpty() ? "" : rows.getString(0);
    }
  }

  private final HttpClientAgent client;

  /** Creates a client with its own connection pool. */
  public LoadClient(Vertx vertx) {
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setTcpNoDelay(true).setKeepAliveTimeout(5),
            new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS_PER_VM));
  }

  /**
   * Sends a request.
   *
   * @param vm the address of the VM's listener for callers
   * @param key the customer's API key, or an empty text to send none
   * @param token the session token, or an empty text to send none
   * @param requestId the request's id, or an empty text to send none
   * @param body the body of a POST request, or null to send a GET request
   * @return a future that never fails: if no connection can be opened the outcome is not-run, if no
   *     response comes within 20 s it is unknown, both with the code no-answer
   */
  public Future<Answer> send(
      String vm, String path, String key, String token, String requestId, JsonObject body) {
    HostAndPort address = HostAndPort.fromString(vm);
    RequestOptions options =
        new RequestOptions()
            .setMethod(body == null ? HttpMethod.GET : HttpMethod.POST)
            .setHost(address.getHost())
            .setPort(address.getPort())
            .setURI(path)
            .setTimeout(REQUEST_TIMEOUT_IN_MILLISECONDS);
    if (!key.isEmpty()) {
      options.putHeader("Authorization", "Bearer " + key);
    }
    if (!token.isEmpty()) {
      options.putHeader("Session-Token", token);
    }
    if (!requestId.isEmpty()) {
      options.putHeader("Request-Id", requestId);
    }
    Buffer content = body == null ? Buffer.buffer() : body.toBuffer();
    return client
        .request(options)
        .compose(
            request ->
                request
                    .send(content)
                    .compose(
                        response ->
                            response
                                .body()
                                .map(
                                    text ->
                                        parse(
                                            response.statusCode(),
                                            response.getHeader("Session-Token"),
                                            text)))
                    .recover(cause -> noAnswer("unknown", cause)),
            cause -> noAnswer("not-run", cause));
  }

  private static Future<Answer> noAnswer(String outcome, Throwable cause) {
    return Future.succeededFuture(
        new Answer(
            outcome,
            "no-answer",
            null,
            new JsonObject().put("message", String.valueOf(cause.getMessage())),
            0));
  }

  private static Answer parse(int status, String token, Buffer text) {
    try {
      JsonObject body = text.toJsonObject();
      return new Answer(
          body.getString("outcome", "unknown"), body.getString("code", ""), token, body, status);
    } catch (DecodeException e) {
      return new Answer("unknown", "bad-answer", token, new JsonObject(), status);
    }
  }

  /** Closes all connections. */
  public Future<Void> close() {
    return client.close();
  }
}
