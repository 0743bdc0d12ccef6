package org.toucanmast.runtime.caller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;

/** Reads the body of a request, within a limit of size and time. */
final class BodyReader {
  private final Vertx vertx;
  private final long maximumSize;
  private final long timeoutInMilliseconds;

  BodyReader(Vertx vertx, long maximumSize, long timeoutInMilliseconds) {
    this.vertx = vertx;
    this.maximumSize = maximumSize;
    this.timeoutInMilliseconds = timeoutInMilliseconds;
  }

  /** Returns the whole body; fails with {@link RefusedException} when it is too large or late. */
  Future<Buffer> read(HttpServerRequest request) {
    if (declaredSize(request) > maximumSize) {
      return Future.failedFuture(new RefusedException(Refusal.TOO_LARGE));
    }
    Promise<Buffer> whole = Promise.promise();
    Buffer body = Buffer.buffer();
    long timer =
        vertx.setTimer(
            timeoutInMilliseconds, late -> whole.tryFail(new RefusedException(Refusal.TOO_SLOW)));
    request
        .handler(
            part -> {
              if (body.length() + part.length() > maximumSize) {
                whole.tryFail(new RefusedException(Refusal.TOO_LARGE));
              } else if (!whole.future().isComplete()) {
                body.appendBuffer(part);
              }
            })
        .exceptionHandler(cause -> whole.tryFail(new RefusedException(Refusal.MALFORMED)))
        .endHandler(end -> whole.tryComplete(body));
    return whole.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  private static long declaredSize(HttpServerRequest request) {
    String length = request.getHeader("Content-Length");
    try {
      return length == null ? 0 : Long.parseLong(length);
    } catch (NumberFormatException e) {
      return Long.MAX_VALUE;
    }
  }
}
