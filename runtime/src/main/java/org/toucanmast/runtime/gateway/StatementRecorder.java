package org.toucanmast.runtime.gateway;

import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;

/**
 * Writes a line for each statement that failed or was slow at this gateway: how long it waited and
 * ran, where, and what the gateway knew of its group.
 */
final class StatementRecorder {
  private final GatewayContext context;
  private final String group;
  private final LeaderKeeper keeper;

  StatementRecorder(GatewayContext context, String group, LeaderKeeper keeper) {
    this.context = context;
    this.group = group;
    this.keeper = keeper;
  }

  /**
   * Takes the end of a statement.
   *
   * @param queued how many statements wait at the gateway
   */
  void onEnded(PendingStatement statement, StatementResult result, int queued) {
    long now = context.clock().now();
    long total = now - statement.arrivedAt();
    boolean isQuickSuccess = result.isSuccess() && total < EventLog.SLOW_THRESHOLD_IN_MILLISECONDS;
    if (isQuickSuccess || statement.request().operation() == Operation.ROLLBACK) {
      return;
    }
    long startedAt = statement.attempts() == 0 ? now : statement.startedAt();
    context.log().log(
        EventKind.REQUEST_AT_GATEWAY,
        result.isSuccess() ? "slow at gateway" : "failed at gateway",
        "request",
        statement.request().requestId(),
        "group",
        group,
        "from",
        statement.caller(),
        "code",
        result.code(),
        "reason",
        result.isSuccess() ? "" : result.text(),
        "waited",
        startedAt - statement.arrivedAt(),
        "ran",
        now - startedAt,
        "attempts",
        statement.attempts(),
        "tried",
        statement.tried(),
        "primary_only",
        statement.needsPrimary(),
        "leader",
        keeper.leader().map(pool -> pool.entry().id()).orElse("none"),
        "without_leader",
        keeper.withoutLeaderFor(now),
        "queued",
        queued);
  }
}
