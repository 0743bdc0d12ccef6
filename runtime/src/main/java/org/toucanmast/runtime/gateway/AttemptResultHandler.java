package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.request.RetryBudget;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.core.statement.TransactionState;
import org.toucanmast.runtime.events.EventKind;

/**
 * Handles the results of attempts: finishes their statements, keeps track of open transactions, and
 * retries.
 */
final class AttemptResultHandler implements StatementAttempt.ResultHandler {
  /**
   * Maximum attempts at one statement; further ones would only take slots from other statements.
   */
  private static final int MAXIMUM_ATTEMPTS = 4;

  /** How long an endpoint is avoided after it was busy or a connection to it was lost. */
  private static final long BUSY_BACKOFF_IN_MILLISECONDS = 5;

  /** Characters of a statement's text in a log line. */
  private static final int MAXIMUM_LOGGED_LENGTH = 200;

  private final GatewayContext context;
  private final PrimaryMonitor primaryMonitor;
  private final StatementQueues queues;
  private final OpenTransactions transactions;
  private final RetryBudget retryBudget;
  private final Set<StatementAttempt> runningAttempts;
  private final Consumer<PendingStatement> redirectToPrimary;
  private final Runnable dispatch;

  /**
   * Creates the handler of one gateway.
   *
   * @param runningAttempts the attempts that are running; those that end are removed
   * @param redirectToPrimary queues a statement that only the primary can run
   * @param dispatch starts the waiting statements that can be started
   */
  AttemptResultHandler(
      GatewayContext context,
      PrimaryMonitor primaryMonitor,
      StatementQueues queues,
      OpenTransactions transactions,
      RetryBudget retryBudget,
      Set<StatementAttempt> runningAttempts,
      Consumer<PendingStatement> redirectToPrimary,
      Runnable dispatch) {
    this.context = context;
    this.primaryMonitor = primaryMonitor;
    this.queues = queues;
    this.transactions = transactions;
    this.retryBudget = retryBudget;
    this.runningAttempts = runningAttempts;
    this.redirectToPrimary = redirectToPrimary;
    this.dispatch = dispatch;
  }

  @Override
  public void onAligning(StatementAttempt attempt, List<EndpointCommand> commands) {
    context.metrics().counter("gateway.alignment.commands").inc(commands.size());
    for (EndpointCommand command : commands) {
      if (command instanceof EndpointCommand.Prepare prepare) {
        logSessionState(
            attempt, "statement prepared", "name", prepare.name(), "as", prepare.shape());
      }
    }
  }

  @Override
  public void onAlignmentRefused(
      StatementAttempt attempt, EndpointCommand command, EndpointReply reply) {
    context.metrics().counter("gateway.alignment.refused").inc();
    logSessionState(
        attempt,
        "session state refused",
        "command",
        command,
        "code",
        reply.code(),
        "reason",
        reply.text());
    endAttempt(attempt);
    endUnsent(attempt);
  }

  @Override
  public void onEndedBeforeSent(StatementAttempt attempt) {
    endAttempt(attempt);
    if (attempt.statement().request().operation().inTransaction()) {
      attempt.connection().close();
    } else {
      attempt.pool().release(attempt.connection());
    }
    endUnsent(attempt);
  }

  /** Ends or repeats a statement that was not sent; an open transaction of it is rolled back. */
  private void endUnsent(StatementAttempt attempt) {
    PendingStatement statement = attempt.statement();
    transactions.find(statement.request()).ifPresent(transactions::remove);
    if (statement.request().transaction() != StatementRequest.NO_TRANSACTION) {
      String reason =
          context.isHeld(statement.request().claim())
              ? "the values of the session could not be applied"
              : KeyClaim.NOT_HELD;
      statement.fail(ResultCode.ABORTED, reason);
    } else {
      retryOrFail(attempt, ResultCode.BUSY);
    }
    dispatch.run();
  }

  private void logSessionState(StatementAttempt attempt, String event, Object... fields) {
    List<Object> all = new ArrayList<>();
    Collections.addAll(all, "request", attempt.statement().request().requestId());
    Collections.addAll(all, "endpoint", attempt.pool().entry().id());
    for (Object field : fields) {
      String text = String.valueOf(field);
      all.add(text.substring(0, Math.min(text.length(), MAXIMUM_LOGGED_LENGTH)));
    }
    context.log().log(EventKind.SESSION_STATE, event, all.toArray());
  }

  @Override
  public boolean isKeyHeld(StatementAttempt attempt) {
    return context.isHeld(attempt.statement().request().claim());
  }

  @Override
  public long onSent(StatementAttempt attempt) {
    return context.startedStatements().onStarted(attempt.statement().request());
  }

  @Override
  public void onTurnedAway(StatementAttempt attempt, long window) {
    context.startedStatements().onTurnedAway(attempt.statement().request(), window);
  }

  @Override
  public void onBeginRefused(StatementAttempt attempt, EndpointReply reply) {
    endAttempt(attempt);
    attempt.pool().releaseOrClose(attempt.connection(), reply.state());
    primaryMonitor.onReply(attempt.pool(), reply, attempt.startedAt(), false);
    retryOrFail(attempt, reply.code());
    dispatch.run();
  }

  @Override
  public void onReply(StatementAttempt attempt, EndpointReply reply) {
    long now = context.clock().now();
    endAttempt(attempt);
    attempt.pool().suspicion().onReply();
    attempt.pool().serviceTimes().observe(now - attempt.sentAt());
    attempt.pool().learned().ifPresent(limit -> learn(limit, attempt, reply, now));
    StatementRequest request = attempt.statement().request();
    boolean provesPrimary = reply.isSuccess() && attempt.scope().provesPrimary(request.operation());
    boolean committed = provesPrimary && request.operation().mayCommit();
    primaryMonitor.onReply(attempt.pool(), reply, attempt.startedAt(), provesPrimary, committed);
    if (reply.code() == ResultCode.NO_STATEMENT) {
      context.metrics().counter("gateway.prepared.unknown").inc();
      logSessionState(attempt, "prepared statement unknown to the endpoint");
      attempt.connection().clearPreparedStatements();
    }
    if (request.operation().inTransaction()) {
      onTransactionReply(attempt, reply, now);
    } else {
      if (!attempt.isWrapped()) {
        attempt.pool().releaseOrClose(attempt.connection(), reply.state());
      }
      onSingleStatementReply(attempt, reply);
    }
    dispatch.run();
  }

  private static void learn(
      LearnedLimit limit, StatementAttempt attempt, EndpointReply reply, long now) {
    if (reply.isSuccess()) {
      limit.onServed(attempt, now);
    } else if (!reply.code().guaranteesNoEffect()) {
      limit.onFailed(now);
    }
  }

  private void onSingleStatementReply(StatementAttempt attempt, EndpointReply reply) {
    PendingStatement statement = attempt.statement();
    boolean mayRetry =
        reply.code().guaranteesNoEffect() || statement.request().operation() == Operation.READ;
    if (reply.isSuccess() || !mayRetry) {
      statement.finish(StatementResult.of(reply, StatementRequest.NO_TRANSACTION));
      return;
    }
    if (reply.code() == ResultCode.LAGGING) {
      attempt.pool().lag().onReadRefused();
    }
    retryOrFail(attempt, reply.code());
  }

  /**
   * Retries a statement that did not run or that only reads. Ends it with the code if no attempt is
   * left.
   */
  private void retryOrFail(StatementAttempt attempt, ResultCode code) {
    PendingStatement statement = attempt.statement();
    if (statement.isDone() || statement.hasRunningAttempt()) {
      return;
    }
    long now = context.clock().now();
    if (code == ResultCode.BUSY) {
      attempt.pool().avoid(BUSY_BACKOFF_IN_MILLISECONDS);
    }
    boolean mayAttemptAgain = statement.attempts() < MAXIMUM_ATTEMPTS && now < statement.deadline();
    boolean withinRetryBudget =
        code == ResultCode.LAGGING || code == ResultCode.READ_ONLY || retryBudget.tryTakeRetry();
    if (!mayAttemptAgain || !withinRetryBudget) {
      // A caller knows its prepared statements; one that only the endpoint lacks has not run.
      boolean isInternal = code == ResultCode.SUCCESS || code == ResultCode.NO_STATEMENT;
      statement.fail(isInternal ? ResultCode.BUSY : code, "no attempt is left");
      return;
    }
    if (code == ResultCode.LAGGING) {
      redirectToPrimary.accept(statement);
    } else {
      queues.add(statement);
    }
  }

  private void onTransactionReply(StatementAttempt attempt, EndpointReply reply, long now) {
    PendingStatement statement = attempt.statement();
    StatementRequest request = statement.request();
    Optional<OpenTransaction> existing = transactions.find(request);
    if (request.operation() == Operation.COMMIT) {
      existing.ifPresent(transactions::remove);
      if (reply.isSuccess()) {
        attempt.pool().releaseOrClose(attempt.connection(), reply.state());
      } else {
        attempt.connection().close();
      }
      statement.finish(commitResult(reply));
      return;
    }
    // The session of a statement that is done has given its transaction up.
    if (statement.isDone() || !reply.isSuccess() || reply.state() != TransactionState.OPEN) {
      existing.ifPresent(transactions::remove);
      attempt.connection().close();
      statement.finish(
          StatementResult.failure(
              reply.code().guaranteesNoEffect() || reply.isSuccess()
                  ? ResultCode.ABORTED
                  : reply.code(),
              reply.text()));
      return;
    }
    OpenTransaction transaction = existing.orElseGet(() -> registerTransaction(attempt, now));
    transaction.setScope(attempt.scope().after(request.operation()));
    transaction.setIdle(now);
    statement.finish(StatementResult.of(reply, transaction.handle()));
  }

  private static StatementResult commitResult(EndpointReply reply) {
    if (reply.code().guaranteesNoEffect()) {
      return StatementResult.failure(ResultCode.ABORTED, reply.text());
    }
    return StatementResult.of(reply, StatementRequest.NO_TRANSACTION);
  }

  private OpenTransaction registerTransaction(StatementAttempt attempt, long now) {
    OpenTransaction opened =
        new OpenTransaction(
            context.nextTransactionHandle(),
            attempt.statement().origin(),
            attempt.statement().request().claim(),
            attempt.pool(),
            attempt.connection(),
            attempt.scope(),
            now);
    transactions.add(opened);
    return opened;
  }

  @Override
  public void onLost(StatementAttempt attempt, EndpointConnection.Loss loss, boolean sent) {
    endAttempt(attempt);
    if (sent) {
      attempt.pool().learned().ifPresent(limit -> limit.onFailed(context.clock().now()));
    }
    PendingStatement statement = attempt.statement();
    Operation operation = statement.request().operation();
    transactions.find(statement.request()).ifPresent(transactions::remove);
    context.log().log(
        EventKind.REQUEST_MOVED,
        "connection lost",
        "request",
        statement.request().requestId(),
        "endpoint",
        attempt.pool().entry().id(),
        "loss",
        loss,
        "sent",
        sent);
    if (statement.request().transaction() != StatementRequest.NO_TRANSACTION) {
      statement.fail(
          sent ? operation.resultWhenAnswerIsLost() : ResultCode.ABORTED, "connection lost");
    } else if (sent && operation != Operation.READ) {
      statement.fail(operation.resultWhenAnswerIsLost(), "connection lost");
    } else {
      retryOrFail(attempt, ResultCode.BUSY);
    }
    dispatch.run();
  }

  @Override
  public void onWrappingTransactionEnded(StatementAttempt attempt, EndpointReply reply) {
    attempt.pool().releaseOrClose(attempt.connection(), reply.state());
    dispatch.run();
  }

  private void endAttempt(StatementAttempt attempt) {
    runningAttempts.remove(attempt);
    attempt.statement().onAttemptEnded();
    if (attempt.isCountedOverdue()) {
      attempt.pool().learned().ifPresent(limit -> limit.limit().onOverdueEnded());
    }
  }
}
