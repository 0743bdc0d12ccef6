package org.toucanmast.standin.measure;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/** Repeats an exchange on a number of lanes, each of which waits for its own answer. */
final class ClosedLoop {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

  /**
   * What a run showed.
   *
   * @param latencyInMicroseconds the time of each exchange
   * @param perSecond exchanges a second
   * @param failures exchanges that did not succeed
   */
  record Result(Histogram latencyInMicroseconds, double perSecond, long failures) {}

  private final Vertx vertx;
  private final Function<Integer, Future<Boolean>> exchange;
  private final Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
  private final Promise<Void> ended = Promise.promise();
  private long endAt;
  private int running;
  private long failures;

  private ClosedLoop(Vertx vertx, Function<Integer, Future<Boolean>> exchange) {
    this.vertx = vertx;
    this.exchange = exchange;
  }

  /**
   * Runs the exchange for a time.
   *
   * @param exchange starts one exchange on a lane; its result tells whether it succeeded
   */
  static Result run(
      Vertx vertx, int lanes, long seconds, Function<Integer, Future<Boolean>> exchange) {
    ClosedLoop loop = new ClosedLoop(vertx, exchange);
    long startedAt = System.nanoTime();
    loop.endAt = startedAt + TimeUnit.SECONDS.toNanos(seconds);
    loop.running = lanes;
    vertx.runOnContext(
        nothing -> {
          for (int lane = 0; lane < lanes; lane++) {
            loop.next(lane);
          }
        });
    loop.ended.future().toCompletionStage().toCompletableFuture().join();
    double elapsed = (System.nanoTime() - startedAt) / (double) TimeUnit.SECONDS.toNanos(1);
    return new Result(loop.latency, loop.latency.getTotalCount() / elapsed, loop.failures);
  }

  private void next(int lane) {
    long startedAt = System.nanoTime();
    if (startedAt - endAt >= 0) {
      running--;
      if (running == 0) {
        ended.complete();
      }
      return;
    }
    exchange
        .apply(lane)
        .onComplete(
            succeeded -> {
              latency.recordValue((System.nanoTime() - startedAt) / NANOSECONDS_PER_MICROSECOND);
              if (!succeeded) {
                failures++;
              }
              next(lane);
            },
            cause -> {
              failures++;
              vertx.setTimer(1, later -> next(lane));
            });
  }
}
