package org.toucanmast.runtime.caller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;

/** Reads request bodies within a maximum size and a timeout. */
final class BodyReader {
  private final Vertx vertx;
  private final long maximumSizeInBytes;
  private final long timeoutInMilliseconds;
  private final Map<HttpServerRequest, Promise<Buffer>> incomplete = new HashMap<>();

  /**
   * Creates a reader.
   *
   * @param maximumSizeInBytes the maximum size of a body
   * @param timeoutInMilliseconds the time after the request head in which the body must be complete
   */
  BodyReader(Vertx vertx, long maximumSizeInBytes, long timeoutInMilliseconds) {
    this.vertx = vertx;
    this.maximumSizeInBytes = maximumSizeInBytes;
    this.timeoutInMilliseconds = timeoutInMilliseconds;
  }

  /**
   * Returns the complete body; fails with {@link RefusedException} when the body is too large, is
   * not complete in time or cannot be read.
   */
  Future<Buffer> read(HttpServerRequest request) {
    if (declaredSize(request) > maximumSizeInBytes) {
      return Future.failedFuture(new RefusedException(Refusal.TOO_LARGE));
    }
    Promise<Buffer> result = Promise.promise();
    incomplete.put(request, result);
    Buffer body = Buffer.buffer();
    long timer =
        vertx.setTimer(
            timeoutInMilliseconds,
            timerId -> result.tryFail(new RefusedException(Refusal.TOO_SLOW)));
    request
        .handler(
            chunk -> {
              if (body.length() + chunk.length() > maximumSizeInBytes) {
                result.tryFail(new RefusedException(Refusal.TOO_LARGE));
              } else if (!result.future().isComplete()) {
                body.appendBuffer(chunk);
              }
            })
        .exceptionHandler(cause -> result.tryFail(new RefusedException(Refusal.MALFORMED)))
        .endHandler(end -> result.tryComplete(body));
    return result
        .future()
        .onComplete(
            completed -> {
              incomplete.remove(request);
              vertx.cancelTimer(timer);
            });
  }

  /** Refuses the requests whose body is not complete and that meet a condition. */
  void refuseIncomplete(Predicate<HttpServerRequest> condition, Refusal refusal) {
    for (Map.Entry<HttpServerRequest, Promise<Buffer>> entry : Map.copyOf(incomplete).entrySet()) {
      if (condition.test(entry.getKey())) {
        entry.getValue().tryFail(new RefusedException(refusal));
      }
    }
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
