package org.toucanmast.runtime.gateway;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanmast.core.request.RetryBudget;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.core.statement.TransactionState;
import org.toucanmast.runtime.events.EventKind;

/** What becomes of attempts: their results, their transactions, and further attempts. */
final class StatementOutcomes implements StatementRun.Outcome {
  /** The most attempts at one statement; further ones would only take slots from others. */
  private static final int MOST_ATTEMPTS = 4;

  /** Pause of an endpoint that said it is full, in milliseconds. */
  private static final long PAUSE_WHEN_FULL = 5;

  private final GatewayContext context;
  private final LeaderKeeper keeper;
  private final StatementQueues queues;
  private final OpenTransactions transactions;
  private final RetryBudget repeats;
  private final Set<StatementRun> running;
  private final Consumer<PendingStatement> toPrimary;
  private final Runnable pump;

  /**
   * Creates the outcomes of a gateway.
   *
   * @param running the attempts that run
   * @param toPrimary takes a statement that only the primary can run
   * @param pump starts what can be started
   */
  StatementOutcomes(
      GatewayContext context,
      LeaderKeeper keeper,
      StatementQueues queues,
      OpenTransactions transactions,
      RetryBudget repeats,
      Set<StatementRun> running,
      Consumer<PendingStatement> toPrimary,
      Runnable pump) {
    this.context = context;
    this.keeper = keeper;
    this.queues = queues;
    this.transactions = transactions;
    this.repeats = repeats;
    this.running = running;
    this.toPrimary = toPrimary;
    this.pump = pump;
  }

  @Override
  public void onBeginRefused(StatementRun run, EndpointReply reply) {
    ended(run);
    run.pool().giveBack(run.connection(), reply.state());
    keeper.onReply(run.pool(), reply, run.startedAt(), false);
    again(run, reply.code());
    pump.run();
  }

  @Override
  public void onReply(StatementRun run, EndpointReply reply) {
    long now = context.clock().now();
    ended(run);
    run.pool().suspicion().answered();
    run.pool().serviceTimes().observe(now - run.sentAt());
    StatementRequest request = run.statement().request();
    boolean provesLead =
        reply.isSuccess()
            && (run.isWrapped()
                || request.operation() == Operation.WRITE
                || request.operation().inTransaction() && run.statement().needsPrimary());
    keeper.onReply(run.pool(), reply, run.startedAt(), provesLead);
    if (reply.code() == ResultCode.NO_STATEMENT) {
      run.connection().forgetPrepared();
    }
    if (request.operation().inTransaction()) {
      onTransactionReply(run, reply, now);
    } else {
      if (!run.isWrapped()) {
        run.pool().giveBack(run.connection(), reply.state());
      }
      onLoneReply(run, reply);
    }
    pump.run();
  }

  private void onLoneReply(StatementRun run, EndpointReply reply) {
    PendingStatement statement = run.statement();
    boolean mayRepeat =
        reply.code().guaranteesNoEffect() || statement.request().operation() == Operation.READ;
    if (reply.isSuccess() || !mayRepeat) {
      statement.finish(StatementResult.of(reply, StatementRequest.NO_TRANSACTION));
      return;
    }
    if (reply.code() == ResultCode.LAGGING) {
      run.pool().lag().refused();
    }
    again(run, reply.code());
  }

  /** Repeats a statement that did not run, or that only reads; or ends it with the code. */
  private void again(StatementRun run, ResultCode code) {
    PendingStatement statement = run.statement();
    if (statement.isDone() || statement.isRunning()) {
      return;
    }
    long now = context.clock().now();
    if (code == ResultCode.BUSY) {
      run.pool().avoid(PAUSE_WHEN_FULL);
    }
    boolean worthwhile = statement.attempts() < MOST_ATTEMPTS && now < statement.deadline();
    boolean paid = code == ResultCode.LAGGING || code == ResultCode.READ_ONLY || repeats.trySpend();
    if (!worthwhile || !paid) {
      statement.refuse(code == ResultCode.SUCCESS ? ResultCode.BUSY : code, "no attempt is left");
      return;
    }
    if (code == ResultCode.LAGGING) {
      toPrimary.accept(statement);
    } else {
      queues.add(statement);
    }
  }

  private void onTransactionReply(StatementRun run, EndpointReply reply, long now) {
    PendingStatement statement = run.statement();
    StatementRequest request = statement.request();
    Optional<OpenTransaction> known = transactions.of(request);
    if (request.operation() == Operation.COMMIT) {
      known.ifPresent(transactions::remove);
      if (reply.isSuccess()) {
        run.pool().giveBack(run.connection(), reply.state());
      } else {
        run.connection().close();
      }
      statement.finish(commitResult(reply));
      return;
    }
    if (!reply.isSuccess() || reply.state() != TransactionState.OPEN) {
      known.ifPresent(transactions::remove);
      run.connection().close();
      statement.finish(
          StatementResult.failure(
              reply.code().guaranteesNoEffect() || reply.isSuccess()
                  ? ResultCode.ABORTED
                  : reply.code(),
              reply.text()));
      return;
    }
    OpenTransaction transaction = known.orElseGet(() -> open(run, now));
    transaction.setRunning(false, now);
    statement.finish(StatementResult.of(reply, transaction.handle()));
  }

  private static StatementResult commitResult(EndpointReply reply) {
    if (reply.code().guaranteesNoEffect()) {
      return StatementResult.failure(ResultCode.ABORTED, reply.text());
    }
    return StatementResult.of(reply, StatementRequest.NO_TRANSACTION);
  }

  private OpenTransaction open(StatementRun run, long now) {
    OpenTransaction opened =
        new OpenTransaction(
            context.nextTransaction(), run.statement().caller(), run.pool(), run.connection(), now);
    transactions.add(opened);
    return opened;
  }

  @Override
  public void onLost(StatementRun run, EndpointConnection.Loss loss, boolean sent) {
    ended(run);
    PendingStatement statement = run.statement();
    Operation operation = statement.request().operation();
    transactions.of(statement.request()).ifPresent(transactions::remove);
    context.log().log(
        EventKind.REQUEST_MOVED,
        "connection lost",
        "request",
        statement.request().requestId(),
        "endpoint",
        run.pool().entry().id(),
        "loss",
        loss,
        "sent",
        sent);
    if (statement.request().transaction() != StatementRequest.NO_TRANSACTION) {
      statement.refuse(
          sent ? operation.resultWhenAnswerIsLost() : ResultCode.ABORTED, "connection lost");
    } else if (sent && operation != Operation.READ) {
      statement.refuse(operation.resultWhenAnswerIsLost(), "connection lost");
    } else {
      again(run, ResultCode.BUSY);
    }
    pump.run();
  }

  @Override
  public void onWrapperEnded(StatementRun run, EndpointReply reply) {
    run.pool().giveBack(run.connection(), reply.state());
    pump.run();
  }

  private void ended(StatementRun run) {
    running.remove(run);
    run.statement().attemptEnded();
  }
}
