package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.toucanmast.core.scheduling.WaitEstimate;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;

/**
 * Logs each statement that failed or was slow at this gateway: how long it waited and ran, where it
 * ran, and what the gateway knew of its group.
 */
final class StatementLogger {
  private final GatewayContext context;
  private final String group;
  private final PrimaryMonitor primaryMonitor;

  StatementLogger(GatewayContext context, String group, PrimaryMonitor primaryMonitor) {
    this.context = context;
    this.group = group;
    this.primaryMonitor = primaryMonitor;
  }

  /**
   * Logs a finished statement if it failed or was slow.
   *
   * @param queued how many statements wait at the gateway
   */
  void onFinished(PendingStatement statement, StatementResult result, int queued) {
    long now = context.clock().now();
    long totalMilliseconds = now - statement.arrivedAt();
    boolean isQuickSuccess =
        result.isSuccess() && totalMilliseconds < EventLog.SLOW_THRESHOLD_IN_MILLISECONDS;
    boolean isPassedOn = result.code() == ResultCode.NOT_NEARBY;
    if (isQuickSuccess || isPassedOn || statement.request().operation() == Operation.ROLLBACK) {
      return;
    }
    long lastAttemptAt = statement.attempts() == 0 ? now : statement.lastAttemptAt();
    List<Object> fields = new ArrayList<>();
    Collections.addAll(
        fields,
        "request",
        statement.request().requestId(),
        "group",
        group,
        "from",
        statement.origin().vm(),
        "code",
        result.code(),
        "reason",
        result.isSuccess() ? "" : result.text(),
        "waited",
        lastAttemptAt - statement.arrivedAt(),
        "ran",
        now - lastAttemptAt,
        "attempts",
        statement.attempts(),
        "tried",
        statement.triedEndpoints(),
        "primary_only",
        statement.needsPrimary(),
        "leader",
        primaryMonitor.primary().map(pool -> pool.entry().id()).orElse("none"),
        "without_leader",
        primaryMonitor.millisecondsWithoutPrimary(now),
        "queued",
        queued);
    statement.refusedBy().ifPresent(estimate -> addEstimate(fields, statement, estimate, now));
    context.log().log(
        EventKind.REQUEST_AT_GATEWAY,
        result.isSuccess() ? "slow at gateway" : "failed at gateway",
        fields.toArray());
  }

  /** Adds the estimate that refused a statement. */
  private static void addEstimate(
      List<Object> fields, PendingStatement statement, WaitEstimate estimate, long now) {
    Collections.addAll(
        fields,
        "priority",
        statement.request().priority(),
        "ahead",
        estimate.ahead(),
        "expected_wait",
        (long) Math.min(Integer.MAX_VALUE, estimate.waitMilliseconds()),
        "expected_run",
        (long) estimate.serviceMilliseconds(),
        "objective_left",
        statement.objectiveAt() - now,
        "deadline_left",
        statement.deadline() - now);
  }
}
