package org.toucanmast.runtime.vm;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.LongSupplier;
import org.toucanmast.core.stop.StopPhase;
import org.toucanmast.core.stop.StopSchedule;

/**
 * The planned stop of a VM's request service: takes its work through the phases of a {@link
 * StopSchedule}. Runs on the request event loop, so that no request arrives between the decision
 * that all work has ended and the close of the listener.
 */
final class RequestStop {
  private static final Logger log = System.getLogger(RequestStop.class.getName());
  private static final long CHECK_INTERVAL_IN_MILLISECONDS = 5;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  /** The work that the stop ends. */
  interface Work {
    /** Ends what may not last beyond the beginning of a phase; called once for each phase. */
    void enter(StopPhase phase);

    /** Returns whether nothing is running, open or unanswered. */
    boolean hasEnded();

    /** Answers every request that has no answer. */
    void answerAll();

    /** Closes the listener and the connections of callers. */
    void close();
  }

  private final Vertx vertx;
  private final StopSchedule schedule;
  private final Work work;
  private final LongSupplier clock;
  private final Promise<Boolean> ended = Promise.promise();
  private StopPhase phase = StopPhase.SERVING;
  private boolean interrupted;

  /**
   * Creates a stop.
   *
   * @param clock the present time, in nanoseconds
   */
  RequestStop(Vertx vertx, StopSchedule schedule, Work work, LongSupplier clock) {
    this.vertx = vertx;
    this.schedule = schedule;
    this.work = work;
    this.clock = clock;
  }

  /**
   * Runs the stop.
   *
   * @return completes when all work has ended or the process has to end, with whether all work
   *     ended before it had to be interrupted
   */
  Future<Boolean> run() {
    long timer = vertx.setPeriodic(CHECK_INTERVAL_IN_MILLISECONDS, id -> check());
    check();
    return ended.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  private void check() {
    long now = clock.getAsLong() / NANOSECONDS_PER_MILLISECOND;
    while (phase != schedule.phaseAt(now)) {
      phase = StopPhase.values()[phase.ordinal() + 1];
      interrupted = phase == StopPhase.ANSWERING && !work.hasEnded();
      log.log(Level.INFO, "stop phase {0}, all work has ended: {1}", phase, work.hasEnded());
      work.enter(phase);
    }
    if (phase.closesIdleSessions() && work.hasEnded()) {
      work.close();
      ended.tryComplete(!interrupted);
    } else if (now >= schedule.exitAt()) {
      work.answerAll();
      work.close();
      ended.tryComplete(false);
    }
  }
}
