package org.toucanmast.standin.measure;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/** Closed-loop load generator: each worker starts its next exchange after the previous answer. */
final class ClosedLoop {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

  /**
   * The result of a run.
   *
   * @param latencyInMicroseconds the latencies of the exchanges that were answered
   * @param perSecond the number of exchanges answered per second
   * @param failures the number of exchanges that did not succeed
   */
  record Result(Histogram latencyInMicroseconds, double perSecond, long failures) {}

  private final Vertx vertx;
  private final Function<Integer, Future<Boolean>> exchange;
  private final Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
  private final Promise<Void> ended = Promise.promise();
  private long deadline;
  private int activeWorkers;
  private long failures;

  private ClosedLoop(Vertx vertx, Function<Integer, Future<Boolean>> exchange) {
    this.vertx = vertx;
    this.exchange = exchange;
  }

  /**
   * Repeats the exchange for the given time and waits for the last answers.
   *
   * @param workers the number of concurrent workers
   * @param seconds the time during which exchanges are started, in seconds
   * @param exchange starts an exchange of the given worker; the result tells whether it succeeded
   */
  static Result run(
      Vertx vertx, int workers, long seconds, Function<Integer, Future<Boolean>> exchange) {
    ClosedLoop loop = new ClosedLoop(vertx, exchange);
    long startedAt = System.nanoTime();
    loop.deadline = startedAt + TimeUnit.SECONDS.toNanos(seconds);
    loop.activeWorkers = workers;
    vertx.runOnContext(
        ignored -> {
          for (int worker = 0; worker < workers; worker++) {
            loop.startNext(worker);
          }
        });
    loop.ended.future().toCompletionStage().toCompletableFuture().join();
    double elapsed = (System.nanoTime() - startedAt) / (double) TimeUnit.SECONDS.toNanos(1);
    return new Result(loop.latency, loop.latency.getTotalCount() / elapsed, loop.failures);
  }

  private void startNext(int worker) {
    long startedAt = System.nanoTime();
    if (startedAt - deadline >= 0) {
      activeWorkers--;
      if (activeWorkers == 0) {
        ended.complete();
      }
      return;
    }
    exchange
        .apply(worker)
        .onComplete(
            succeeded -> {
              latency.recordValue((System.nanoTime() - startedAt) / NANOSECONDS_PER_MICROSECOND);
              if (!succeeded) {
                failures++;
              }
              startNext(worker);
            },
            cause -> {
              failures++;
              vertx.setTimer(1, ignored -> startNext(worker));
            });
  }
}
