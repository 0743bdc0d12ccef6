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

/** Sends callers' requests to VMs. */
public final class LoadClient {
  private static final int CONNECTIONS = 256;
  private static final long TIMEOUT_IN_MILLISECONDS = 20_000;

  /**
   * What a caller saw.
   *
   * @param outcome ran, not-run or unknown
   * @param code why it was refused, or an empty text
   * @param token the session token, or null when the answer brought none
   * @param body the whole body
   * @param status the HTTP status; 0 when no answer came
   */
  public record Answer(String outcome, String code, String token, JsonObject body, int status) {
    /** Returns the first row, or an empty text. */
    public String row() {
      JsonArray rows = body.getJsonArray("rows", new JsonArray());
      return rows.isEmpty() ? "" : rows.getString(0);
    }
  }

  private final HttpClientAgent client;

  /** Creates a client with its own connections. */
  public LoadClient(Vertx vertx) {
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setTcpNoDelay(true).setKeepAliveTimeout(5),
            new PoolOptions().setHttp1MaxSize(CONNECTIONS));
  }

  /**
   * Sends one request.
   *
   * @param key the customer's key, or an empty text
   * @return what the caller saw; never fails: no answer is the outcome unknown
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
            .setTimeout(TIMEOUT_IN_MILLISECONDS);
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
