package org.toucanmast.runtime.caller;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.toucanmast.core.request.Outcome;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.core.session.SessionToken;
import org.toucanmast.runtime.request.CallerAnswer;

/** Writes the results and refusals of requests as HTTP responses. */
final class ResponseWriter {
  private static final int OK = 200;

  /** Whether the connection is closed after each response, because this VM is stopping. */
  private boolean closeAfterResponse;

  /** Responses that were handed to their connection and are not sent whole. */
  private int unsent;

  /** Closes the connection after each further response. */
  void closeAfterResponses() {
    closeAfterResponse = true;
  }

  /** Returns whether all responses have been sent whole, or their connection has ended. */
  boolean hasSentAll() {
    return unsent == 0;
  }

  void answer(HttpServerRequest request, String id, CallerAnswer answer) {
    JsonObject body =
        new JsonObject()
            .put("outcome", Outcome.RAN.text())
            .put("requestId", id)
            .put("rows", new JsonArray(answer.rows()))
            .put("endpoint", answer.endpoint())
            .put("replica", answer.replica())
            .put("duplicate", answer.duplicate());
    if (!answer.transaction().isEmpty()) {
      body.put("transaction", answer.transaction());
    }
    write(request, OK, answer.token(), body, closeAfterResponse);
  }

  void refuse(HttpServerRequest request, String id, RefusedException refused, SessionToken token) {
    if (request.response().closed() || request.response().ended()) {
      return;
    }
    Refusal refusal = refused.refusal();
    JsonObject body =
        new JsonObject()
            .put("outcome", refused.outcome().text())
            .put("requestId", id)
            .put("code", refusal.code())
            .put("message", refused.getMessage());
    boolean unreadBody = refusal == Refusal.TOO_LARGE || refusal == Refusal.TOO_SLOW;
    refusal
        .retryAfterInSeconds()
        .ifPresent(
            seconds -> request.response().putHeader("Retry-After", Integer.toString(seconds)));
    write(request, refusal.status(), token, body, closeAfterResponse || unreadBody);
  }

  private void write(
      HttpServerRequest request, int status, SessionToken token, JsonObject body, boolean close) {
    if (request.response().closed() || request.response().ended()) {
      return;
    }
    request.response().setStatusCode(status).putHeader("Content-Type", "application/json");
    String encodedToken = token.encode();
    if (!encodedToken.isEmpty()) {
      request.response().putHeader(RequestParser.SESSION_TOKEN_HEADER, encodedToken);
    }
    if (close) {
      request.response().putHeader("Connection", "close");
    }
    unsent++;
    request
        .response()
        .end(body.toBuffer())
        .onComplete(
            sent -> {
              unsent--;
              if (close) {
                closeConnection(request);
              }
            });
  }

  /**
   * Closes the connection of an answered request. During a stop, the rest of a request that was
   * refused early is read first: the system resets a connection that is closed with unread bytes,
   * and its caller could lose the response.
   */
  private void closeConnection(HttpServerRequest request) {
    if (closeAfterResponse && !request.isEnded() && !request.response().closed()) {
      request.endHandler(end -> request.connection().close());
    } else {
      request.connection().close();
    }
  }
}
