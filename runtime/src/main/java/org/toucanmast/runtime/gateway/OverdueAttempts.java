package org.toucanmast.runtime.gateway;

import org.toucanmast.core.request.RetryBudget;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.runtime.events.EventKind;

/**
 * Decides what happens to attempts whose reply is overdue: reads are retried once on another
 * endpoint, the connections of transactions are closed, and statements end at their deadline.
 *
 * <p>Load pattern: one endpoint stops to answer while the others have no free slot. The reads that
 * it holds wait for a slot as well; each takes one place in the queue, however long it waits.
 */
final class OverdueAttempts {
  /** A read is retried on another endpoint no sooner than this. */
  private static final double MINIMUM_READ_RETRY_DELAY_IN_MILLISECONDS = 100;

  /** The reply to a statement of a transaction is considered lost no sooner than this. */
  private static final double MINIMUM_TRANSACTION_REPLY_TIMEOUT_IN_MILLISECONDS = 400;

  /** Multiple of the endpoint's high service time after which a reply is considered lost. */
  private static final double LOST_REPLY_FACTOR = 2;

  /** How long a connection with an overdue reply is kept after the statement's deadline. */
  private static final long UNANSWERED_CONNECTION_GRACE_IN_MILLISECONDS = 2_000;

  private static final int MAXIMUM_ATTEMPTS = 2;

  private final GatewayContext context;
  private final StatementQueues queues;
  private final RetryBudget retryBudget;

  OverdueAttempts(GatewayContext context, StatementQueues queues, RetryBudget retryBudget) {
    this.context = context;
    this.queues = queues;
    this.retryBudget = retryBudget;
  }

  /** Checks one running attempt; must be called periodically. */
  void check(StatementAttempt attempt, long now) {
    attempt.pool().learned().ifPresent(limit -> limit.checkOverdue(attempt, now));
    PendingStatement statement = attempt.statement();
    if (now >= statement.deadline() && !statement.isDone()) {
      statement.fail(ResultCode.TIMEOUT, "no answer before the deadline of the statement");
    }
    if (statement.isDone()) {
      if (now - statement.deadline() > UNANSWERED_CONNECTION_GRACE_IN_MILLISECONDS) {
        attempt.connection().close();
      }
      return;
    }
    Operation operation = statement.request().operation();
    if (operation == Operation.READ) {
      if (isOverdue(attempt, MINIMUM_READ_RETRY_DELAY_IN_MILLISECONDS, now)) {
        retryElsewhere(statement);
      }
    } else if (operation == Operation.TRANSACTION_READ
        || operation == Operation.TRANSACTION_WRITE) {
      if (isOverdue(attempt, MINIMUM_TRANSACTION_REPLY_TIMEOUT_IN_MILLISECONDS, now)) {
        attempt.connection().close();
      }
    }
  }

  /**
   * Returns whether a reply is overdue. While this VM is short of processor time, the reply may lie
   * unread in a socket, and a retry or a closed connection would only add work.
   */
  private boolean isOverdue(StatementAttempt attempt, double minimumMilliseconds, long now) {
    double replyTimeoutMilliseconds =
        attempt.pool().serviceTimes().upperEstimate() * LOST_REPLY_FACTOR;
    double limitMilliseconds =
        Math.max(minimumMilliseconds, replyTimeoutMilliseconds) * context.localHealth().factor(now);
    return context.localHealth().mayJudge(now) && now - attempt.startedAt() > limitMilliseconds;
  }

  private void retryElsewhere(PendingStatement statement) {
    boolean retried = statement.attempts() >= MAXIMUM_ATTEMPTS || statement.isRetryWaiting();
    if (retried || !retryBudget.tryTakeRetry()) {
      return;
    }
    context.log().log(
        EventKind.REQUEST_MOVED,
        "reply to a read overdue; retrying on another endpoint",
        "request",
        statement.request().requestId());
    statement.onRetryQueued();
    queues.add(statement);
  }
}
