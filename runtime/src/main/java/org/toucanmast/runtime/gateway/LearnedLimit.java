package org.toucanmast.runtime.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.toucanmast.core.concurrency.EndpointLimit;
import org.toucanmast.core.concurrency.EndpointLimits;
import org.toucanmast.core.concurrency.StatementForm;
import org.toucanmast.core.concurrency.TimerDelay;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.metrics.MetricNames;

/**
 * The learned limit of one endpoint: passes it the results of attempts, and shows it in metrics and
 * log lines.
 */
final class LearnedLimit {
  private static final long MINIMUM_LOG_INTERVAL_IN_MILLISECONDS = 1_000;

  private final EndpointLimits group;
  private final EndpointLimit limit;
  private final TimerDelay timerDelay;
  private final MetricRegistry metrics;
  private final EventLog log;
  private final String endpoint;
  private int loggedLimit;
  private long loggedAt = Long.MIN_VALUE / 2;

  /**
   * Starts to learn.
   *
   * @param group the limits of the endpoint's group
   * @param timerDelay how late the timers of this VM fire
   */
  LearnedLimit(
      EndpointLimits group,
      TimerDelay timerDelay,
      MetricRegistry metrics,
      EventLog log,
      String endpoint,
      int slots) {
    this.group = group;
    this.limit = group.add(slots);
    this.timerDelay = timerDelay;
    this.metrics = metrics;
    this.log = log;
    this.endpoint = endpoint;
    this.loggedLimit = limit.limit();
  }

  /** Registers gauges of the limit and of the mean service time, in milliseconds. */
  void registerGauges(Gauge<Double> serviceTime) {
    Gauge<Integer> value = limit::limit;
    metrics.remove(limitName());
    metrics.registerGauge(limitName(), value);
    metrics.remove(serviceTimeName());
    metrics.registerGauge(serviceTimeName(), serviceTime);
  }

  private String limitName() {
    return MetricNames.join("endpoint.limit", endpoint);
  }

  private String serviceTimeName() {
    return MetricNames.join("endpoint.service", endpoint);
  }

  /** Applies a newer entry; discards what was learned if the endpoint has restarted. */
  void update(int slots, boolean sameRun) {
    if (sameRun) {
      limit.resize(slots);
    } else {
      limit.reset(slots);
    }
  }

  /** Forgets the endpoint. */
  void close() {
    group.remove(limit);
    metrics.remove(limitName());
    metrics.remove(serviceTimeName());
  }

  EndpointLimit limit() {
    return limit;
  }

  /** Returns the total delay of this VM's timers, in milliseconds. */
  long timerDelay(long now) {
    return timerDelay.total(now);
  }

  /** Adds the result of an attempt that the endpoint answered. */
  void onServed(StatementAttempt attempt, long now) {
    long elapsed = now - attempt.sentAt();
    long delayed = timerDelay.total(now) - attempt.timerDelayAtStart();
    // A sample of which this VM itself spent half says little about the endpoint.
    if (!attempt.mayWaitForPosition() && delayed * 2 <= elapsed) {
      limit.onServed(kind(attempt), elapsed - delayed, attempt.concurrency(), now);
      logChange(now);
    }
  }

  /** Records that the endpoint failed an attempt, or that its connection was lost. */
  void onFailed(long now) {
    limit.onFailed(now);
    logChange(now);
  }

  /** Checks whether the reply to a running attempt has become overdue. */
  void checkOverdue(StatementAttempt attempt, long now) {
    if (attempt.isCountedOverdue()) {
      limit.checkSilence(now);
      logChange(now);
      return;
    }
    if (attempt.mayWaitForPosition() || !attempt.isSent()) {
      return;
    }
    long age = now - attempt.sentAt() - (timerDelay.total(now) - attempt.timerDelayAtStart());
    if (age > limit.overdueAfter(kind(attempt))) {
      attempt.countOverdue();
      limit.onOverdue(kind(attempt), age, now);
      logChange(now);
    }
  }

  private static int kind(StatementAttempt attempt) {
    StatementRequest request = attempt.statement().request();
    boolean begins = attempt.isWrapped() || request.beginsTransaction();
    return StatementForm.of(request.operation(), begins).kind(request.priority());
  }

  private void logChange(long now) {
    int current = limit.limit();
    boolean changed = current * 2 <= loggedLimit || current >= loggedLimit * 2;
    if (changed && now - loggedAt >= MINIMUM_LOG_INTERVAL_IN_MILLISECONDS) {
      log.log(
          EventKind.ENDPOINT,
          "learned limit changed",
          "endpoint",
          endpoint,
          "from",
          loggedLimit,
          "to",
          current,
          "slowness",
          Math.round(limit.placementFactor() * 100) / 100.0);
      loggedLimit = current;
      loggedAt = now;
    }
  }
}
