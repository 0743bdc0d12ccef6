package org.toucanmast.runtime.session;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.toucanmast.core.link.LocalHealth;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;

/**
 * The timer at whose firings this VM judges its peers, and by whose lateness it judges itself.
 *
 * <p>After a late firing, the judgement is postponed by one turn of the event loop, which reads the
 * bytes that have arrived.
 */
final class LocalHealthTimer {
  /** A timer of this delay fires after the event loop has read its sockets once more. */
  private static final long READ_DELAY_IN_MILLISECONDS = 1;

  private static final double LOGGED_CHANGE = 2;

  private final Vertx vertx;
  private final VmClock clock;
  private final EventLog log;
  private final LocalHealth health;
  private final long intervalInMilliseconds;
  private final Runnable judgement;
  private double loggedFactor = 1;
  private boolean judgementScheduled;

  /**
   * Creates a timer that does not run yet.
   *
   * @param judgement called at each firing when this VM may judge its peers
   */
  LocalHealthTimer(
      Vertx vertx,
      VmClock clock,
      EventLog log,
      LocalHealth health,
      long intervalInMilliseconds,
      Runnable judgement) {
    this.vertx = vertx;
    this.clock = clock;
    this.log = log;
    this.health = health;
    this.intervalInMilliseconds = intervalInMilliseconds;
    this.judgement = judgement;
  }

  /** Registers a gauge of the factor by which timeouts are extended. */
  void registerMetrics(MetricRegistry metrics) {
    Gauge<Double> factor = () -> health.factor(clock.now());
    metrics.registerGauge("local-health.factor", factor);
  }

  /**
   * Starts the timer.
   *
   * @param measured whether its lateness is measured; otherwise the factor stays 1
   */
  void start(boolean measured) {
    if (measured) {
      health.onTimerStarted(intervalInMilliseconds, clock.now());
    }
    vertx.setPeriodic(
        intervalInMilliseconds,
        fired -> {
          if (measured) {
            onFired();
          } else {
            judgement.run();
          }
        });
  }

  private void onFired() {
    LocalHealth.TimerFiring firing = health.onTimer(intervalInMilliseconds, clock.now());
    if (firing == LocalHealth.TimerFiring.ON_TIME) {
      judgement.run();
    } else if (firing == LocalHealth.TimerFiring.LATE && !judgementScheduled) {
      judgementScheduled = true;
      vertx.setTimer(READ_DELAY_IN_MILLISECONDS, fired -> judgeLate());
    }
    logChange();
  }

  private void judgeLate() {
    judgementScheduled = false;
    health.onBytesRead();
    judgement.run();
  }

  private void logChange() {
    double factor = health.factor(clock.now());
    boolean changed =
        factor >= loggedFactor * LOGGED_CHANGE
            || factor <= loggedFactor / LOGGED_CHANGE
            || factor == 1 && loggedFactor > 1;
    if (changed) {
      log.log(
          EventKind.PROCESS,
          "timeouts extended",
          "factor",
          Math.round(10 * factor) / 10.0,
          "before",
          Math.round(10 * loggedFactor) / 10.0);
      loggedFactor = factor;
    }
  }
}
