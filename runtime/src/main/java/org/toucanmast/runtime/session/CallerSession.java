package org.toucanmast.runtime.session;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.catalog.Route;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.session.SessionVariables;
import org.toucanmast.core.statement.Access;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.Statement;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.core.statement.TransactionState;
import org.toucanmast.core.stop.StopPhase;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.port.CallerMessage;
import org.toucanmast.runtime.port.DialectException;
import org.toucanmast.runtime.session.StatementSender.GatewayLocation;

/**
 * The session of one caller: its values, its prepared statements, its transaction, and the newest
 * position that its own commits reached. Its statements run one after the other.
 */
final class CallerSession {
  private final SessionContext context;
  private final SessionWriter writer;
  private final SessionInput input;
  private final Runnable onClosed;
  private final SessionVariables variables;
  private SessionAccess access;
  private Optional<RunningStatement> running = Optional.empty();
  private boolean ended;
  private boolean refusesLateStatements;
  private Position lastCommitted = Position.NONE;
  private SessionTransaction transaction;
  private long receivedAt;

  /**
   * Creates the session of a new connection.
   *
   * @param onClosed called once, when the connection is closed and nothing is left to be written
   */
  CallerSession(SessionContext context, NetSocket socket, Runnable onClosed) {
    this.context = context;
    SessionReading reading =
        new SessionReading(socket, action -> context.vertx().runOnContext(now -> action.run()));
    this.writer = new SessionWriter(context, socket, reading);
    this.input = new SessionInput(context.dialect().decoder(), reading);
    this.variables = new SessionVariables(context.stateBudget());
    this.onClosed = onClosed;
    socket.handler(this::onBytes);
    socket.closeHandler(
        closed -> {
          end();
          onClosed.run();
        });
    socket.exceptionHandler(error -> close());
  }

  private void onBytes(Buffer bytes) {
    try {
      if (!ended || refusesLateStatements) {
        input.add(bytes);
        handlePending();
      }
    } catch (DialectException e) {
      context.log().log(EventKind.PROTOCOL, "caller closed", "reason", e.getMessage());
      closeWith(context.dialect().refusal(e.code(), e.getMessage()));
    }
  }

  /** Handles pending messages until a statement is running or no message is left. */
  void handlePending() {
    boolean mayHandle = context.isInitialized() || context.stopPhase().closesIdleSessions();
    while (mayHandle && running.isEmpty() && !ended && !input.isEmpty()) {
      CallerMessage message = input.next();
      if (message instanceof CallerMessage.Open open) {
        open(open);
      } else if (message instanceof CallerMessage.Close) {
        close();
      } else if (message instanceof CallerMessage.Query query) {
        query(query);
      }
    }
    input.resumeIfEmpty();
    if (refusesLateStatements) {
      refuseUnstarted();
    }
    closeWhenStopping();
  }

  private void open(CallerMessage.Open open) {
    if (access != null) {
      closeWith(context.dialect().refusal(ResultCode.MALFORMED, "the session is open already"));
      return;
    }
    SessionAccess requested = new SessionAccess(context, open.database(), open.key());
    Optional<SessionAccess.Refusal> refusal = requested.refusalToOpen(variables);
    if (refusal.isPresent()) {
      writer.logRefusedSession(refusal.get().code());
      closeWith(context.dialect().refusal(refusal.get().code(), refusal.get().reason()));
      return;
    }
    access = requested;
    writer.write(context.dialect().ready(TransactionState.NONE, Position.NONE));
  }

  private void query(CallerMessage.Query query) {
    if (access == null) {
      closeWith(context.dialect().refusal(ResultCode.MALFORMED, "the session is not open"));
      return;
    }
    receivedAt = context.clock().now();
    Statement statement = query.statement();
    boolean isEnd =
        statement instanceof Statement.Commit || statement instanceof Statement.Rollback;
    Optional<ResultCode> refusal = context.stopPhase().refusalOf(statement, state());
    if (refusal.isPresent()) {
      refuseAndRollBack(
          query.requestId(), new SessionAccess.Refusal(refusal.get(), StopPhase.REASON), isEnd);
    } else if (state() == TransactionState.FAILED && !isEnd) {
      refuse(query.requestId(), ResultCode.MALFORMED, "the transaction failed and must be ended");
    } else if (statement instanceof Statement.Begin begin) {
      begin(query.requestId(), begin);
    } else if (statement instanceof Statement.Commit commit) {
      commit(query.requestId(), commit);
    } else if (statement instanceof Statement.Rollback) {
      rollBack(query.requestId());
    } else if (statement instanceof Statement.Run run) {
      run(query.requestId(), run.access(), run.text(), Optional.empty());
    } else if (statement instanceof Statement.Execute execute) {
      execute(query.requestId(), execute);
    } else {
      handleSessionStatement(query.requestId(), statement);
    }
  }

  /** Refuses a statement; its transaction, if there is one, is rolled back. */
  private void refuseAndRollBack(String requestId, SessionAccess.Refusal refusal, boolean isEnd) {
    SessionTransaction current = transaction;
    rollBackAtGateway();
    transaction = current == null || isEnd ? null : current.failed();
    refuse(requestId, refusal);
  }

  private void handleSessionStatement(String requestId, Statement statement) {
    access
        .apply(statement, variables, transaction != null)
        .ifPresentOrElse(refusal -> refuse(requestId, refusal), this::writeSuccess);
  }

  private void begin(String requestId, Statement.Begin begin) {
    if (transaction != null) {
      refuse(requestId, ResultCode.MALFORMED, "a transaction is open already");
      return;
    }
    admit(
        requestId,
        (route, claim) -> {
          transaction =
              new SessionTransaction(route, claim, begin.readOnly())
                  .afterStatement(context.clock().now() - receivedAt);
          writeSuccess();
        });
  }

  private void commit(String requestId, Statement.Commit commit) {
    if (transaction == null) {
      refuse(requestId, ResultCode.MALFORMED, "no transaction is open");
    } else if (transaction.hasFailed()) {
      transaction = null;
      refuse(requestId, ResultCode.ABORTED, "the transaction failed and is rolled back");
    } else {
      inTransaction(requestId, Operation.COMMIT, commit.text(), Optional.empty());
    }
  }

  private void rollBack(String requestId) {
    if (transaction == null) {
      refuse(requestId, ResultCode.MALFORMED, "no transaction is open");
      return;
    }
    rollBackAtGateway();
    writeSuccess();
  }

  private void rollBackAtGateway() {
    SessionTransaction ending = transaction;
    transaction = null;
    if (ending != null && ending.isOpenAtGateway()) {
      StatementRequest request = request("-", Operation.ROLLBACK, "", Optional.empty(), ending);
      context.sender().sendInTransaction(ending.location(), request, (result, location) -> {});
    }
  }

  private void execute(String requestId, Statement.Execute execute) {
    Optional<PreparedShape> shape = variables.prepared(execute.name());
    if (shape.isEmpty()) {
      ResultCode code = ResultCode.NO_STATEMENT;
      refuse(requestId, code, SessionVariables.reason(code));
    } else {
      run(requestId, shape.get().access(), execute.arguments(), shape);
    }
  }

  private void run(String requestId, Access access, String text, Optional<PreparedShape> shape) {
    boolean writes = access == Access.WRITE;
    if (transaction != null) {
      Operation operation = writes ? Operation.TRANSACTION_WRITE : Operation.TRANSACTION_READ;
      inTransaction(requestId, operation, text, shape);
      return;
    }
    Operation operation = writes ? Operation.WRITE : Operation.READ;
    admit(
        requestId,
        (route, claim) -> runAutocommit(requestId, operation, text, shape, route, claim));
  }

  private void runAutocommit(
      String requestId,
      Operation operation,
      String text,
      Optional<PreparedShape> shape,
      Route route,
      KeyClaim<KeyFingerprint> claim) {
    SessionTransaction noTransaction = new SessionTransaction(route, claim, false);
    StatementRequest request = request(requestId, operation, text, shape, noTransaction);
    long startedAt = context.clock().now();
    running = Optional.of(RunningStatement.of(request, startedAt));
    BiConsumer<StatementResult, GatewayLocation> consumer =
        (result, location) -> {
          running = Optional.empty();
          if (result.code().guaranteesNoEffect()) {
            context.allowances().returnToken(claim.customer());
          }
          if (result.isSuccess() && operation == Operation.WRITE) {
            lastCommitted = lastCommitted.maximum(result.position());
          }
          answer(request, result, startedAt, TransactionState.NONE);
        };
    context.sender().send(request, consumer);
  }

  private void inTransaction(
      String requestId, Operation operation, String text, Optional<PreparedShape> shape) {
    SessionTransaction current = transaction;
    Optional<SessionAccess.Refusal> refusal = access.refusalOf(current);
    if (refusal.isPresent()) {
      if (!current.isOpenAtGateway()) {
        context.allowances().returnToken(current.claim().customer());
      }
      refuseAndRollBack(requestId, refusal.get(), operation == Operation.COMMIT);
      return;
    }
    current = current.withClaim(current.claim().confirmedBy(context.catalog()));
    transaction = current;
    StatementRequest request = request(requestId, operation, text, shape, current);
    long startedAt = context.clock().now();
    running = Optional.of(RunningStatement.of(request, startedAt));
    BiConsumer<StatementResult, GatewayLocation> consumer =
        (result, location) -> onTransactionResult(request, result, location, startedAt);
    if (current.isOpenAtGateway()) {
      context.sender().sendInTransaction(current.location(), request, consumer);
    } else {
      context.sender().send(request, consumer);
    }
  }

  private void onTransactionResult(
      StatementRequest request, StatementResult result, GatewayLocation location, long startedAt) {
    running = Optional.empty();
    SessionTransaction current = transaction;
    if (current == null) {
      rollBackAbandoned(request, result, location);
      return;
    }
    current = current.afterStatement(context.clock().now() - receivedAt);
    if (request.operation() == Operation.COMMIT) {
      transaction = null;
      if (result.isSuccess() && !current.readOnly()) {
        lastCommitted = lastCommitted.maximum(result.position());
      }
    } else if (result.isSuccess()) {
      transaction = current.openAt(location, result.transaction());
    } else {
      transaction = current.failed();
      if (!current.isOpenAtGateway() && result.code().guaranteesNoEffect()) {
        context.allowances().returnToken(current.claim().customer());
      }
    }
    if (ended) {
      rollBackAtGateway();
      return;
    }
    answer(request, result, startedAt, state());
  }

  /** Rolls back a transaction that a statement opened after its session had ended. */
  private void rollBackAbandoned(
      StatementRequest request, StatementResult result, GatewayLocation location) {
    if (result.isSuccess() && result.transaction() != StatementRequest.NO_TRANSACTION) {
      context.sender().rollBack(location, request, result.transaction());
    }
  }

  /** Runs the action if the key may use the route and the customer's allowance has a token left. */
  private void admit(String requestId, BiConsumer<Route, KeyClaim<KeyFingerprint>> action) {
    running = Optional.of(RunningStatement.awaitingAdmission(requestId, receivedAt));
    access.admit(
        (route, claim) -> onAdmissionDecided(() -> action.accept(route, claim)),
        refusal -> onAdmissionDecided(() -> refuse(requestId, refusal)));
  }

  private void onAdmissionDecided(Runnable action) {
    running = Optional.empty();
    if (!ended) {
      action.run();
      handlePending();
    }
  }

  private StatementRequest request(
      String requestId,
      Operation operation,
      String text,
      Optional<PreparedShape> shape,
      SessionTransaction owner) {
    return context.limitedByStop(
        owner.request(
            requestId,
            operation,
            text,
            shape,
            variables.values(),
            lastCommitted,
            context.objectiveLeft(owner.objective(), receivedAt)));
  }

  private TransactionState state() {
    return transaction == null ? TransactionState.NONE : transaction.state();
  }

  private void writeSuccess() {
    writer.write(context.dialect().success(List.of(), "", state(), lastCommitted));
  }

  private void answer(
      StatementRequest request, StatementResult result, long startedAt, TransactionState state) {
    writer.answer(request, result, access.database(), startedAt, state, lastCommitted);
    handlePending();
  }

  private void refuse(String requestId, SessionAccess.Refusal refusal) {
    refuse(requestId, refusal.code(), refusal.reason());
  }

  private void refuse(String requestId, ResultCode code, String reason) {
    writer.refuse(requestId, code, reason, state(), lastCommitted);
  }

  private void closeWith(Buffer lastMessage) {
    writer.write(lastMessage);
    close();
  }

  /** Closes the session if the VM is stopping and the session is idle. */
  void closeWhenStopping() {
    boolean idle = running.isEmpty() && transaction == null && input.isAtRest();
    if (context.stopPhase().closesIdleSessions() && idle && !ended) {
      refusesLateStatements = true;
      close();
    }
  }

  /**
   * Answers the statements that have no answer, and closes the session, because the process is
   * about to end. A transaction that is open at a gateway is rolled back when the link ends.
   */
  void answerAndClose() {
    if (!ended) {
      running.ifPresent(this::answerUnfinished);
      refuseUnstarted();
      refusesLateStatements = true;
      close();
    }
  }

  /** Refuses what was received and not started, also while the last answers are being sent. */
  private void refuseUnstarted() {
    for (CallerMessage.Query query : input.removeStatements()) {
      writer.refuse(query.requestId(), ResultCode.BUSY, StopPhase.REASON, state(), lastCommitted);
    }
  }

  private void answerUnfinished(RunningStatement statement) {
    if (statement.request().isEmpty()) {
      refuse(statement.requestId(), ResultCode.BUSY, StopPhase.REASON);
      return;
    }
    StatementRequest request = statement.request().get();
    if (transaction != null) {
      transaction = request.operation() == Operation.COMMIT ? null : transaction.failed();
    }
    ResultCode code = request.operation().resultWhenAnswerIsLost();
    StatementResult result = StatementResult.failure(code, StopPhase.REASON);
    writer.answer(request, result, access.database(), statement.since(), state(), lastCommitted);
  }

  /** Returns the statement that has been received and not been answered. */
  Optional<RunningStatement> running() {
    return running;
  }

  /** Returns whether a session was opened on the connection, or is about to be refused. */
  boolean isOpened() {
    return access != null || !input.isEmpty();
  }

  boolean isInTransaction() {
    return transaction != null;
  }

  /** Closes the connection after everything that was written has been sent. */
  private void close() {
    end();
    writer.closeAfterWrites();
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    writer.discardResults();
    input.removeStatements();
    if (running.isEmpty()) {
      rollBackAtGateway();
    }
    variables.clear();
  }
}
