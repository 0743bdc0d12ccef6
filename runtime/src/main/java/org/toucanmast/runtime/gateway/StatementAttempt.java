package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucanmast.core.failover.TransactionScope;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.usage.CountingRule;

/**
 * One attempt to run a statement on a connection.
 *
 * <p>The statement is sent after the endpoint has accepted the values of its session and the
 * preparation of its prepared statement: behind a refused one, it would run with others.
 *
 * <p>A read that needs the primary is wrapped in a transaction that the gateway begins and rolls
 * back. An endpoint that is no longer the primary refuses it there, while it would answer a read
 * outside a transaction from an outdated log.
 */
final class StatementAttempt implements EndpointConnection.ReplyHandler {

  /** Progress of an attempt. */
  private enum Stage {
    /** The connection is being aligned with the session; the statement has not been sent. */
    ALIGNING,
    /** The transaction is being begun; the statement has not been sent. */
    BEGINNING,
    /** The statement has been sent. */
    RUNNING,
    /** The attempt has a result. */
    ENDED
  }

  /** Handles the result of an attempt. */
  interface ResultHandler {
    /** Called when the commands that align the connection with the session are sent. */
    void onAligning(StatementAttempt attempt, List<EndpointCommand> commands);

    /**
     * Called when the endpoint refused one of the commands that align the connection; the statement
     * was not sent, and the connection is closed.
     */
    void onAlignmentRefused(StatementAttempt attempt, EndpointCommand command, EndpointReply reply);

    /** Returns whether the customer of the statement still holds the key. */
    boolean isKeyHeld(StatementAttempt attempt);

    /**
     * Called when the statement ended, its deadline passed, or its key changed hands while the
     * connection was aligned or the transaction begun; it was not sent.
     */
    void onEndedBeforeSent(StatementAttempt attempt);

    /** Called when the statement is sent to the endpoint; returns the window that it counts in. */
    long onSent(StatementAttempt attempt);

    /** Called when the endpoint has not begun to run the statement that was sent. */
    void onTurnedAway(StatementAttempt attempt, long window);

    /** Called when the endpoint refused to begin the transaction; the statement was not sent. */
    void onBeginRefused(StatementAttempt attempt, EndpointReply reply);

    /** Called with the reply to the statement. */
    void onReply(StatementAttempt attempt, EndpointReply reply);

    /**
     * Called when the connection ended before the reply; {@code sent} tells whether the statement
     * may have run.
     */
    void onLost(StatementAttempt attempt, EndpointConnection.Loss loss, boolean sent);

    /** Called with the reply to the rollback of the transaction that wraps a read. */
    void onWrappingTransactionEnded(StatementAttempt attempt, EndpointReply reply);
  }

  private final PendingStatement statement;
  private final EndpointPool pool;
  private final EndpointConnection connection;
  private final ResultHandler resultHandler;
  private final Optional<Position> minimumPosition;
  private final boolean wrapped;
  private final TransactionScope scope;
  private final long startedAt;
  private final boolean mayWaitForPosition;
  private int concurrency;
  private long timerDelayAtStart;
  private boolean countedOverdue;
  private Stage stage = Stage.RUNNING;
  private int statementIndex;
  private List<EndpointCommand> alignment = List.of();
  private long alignedAt;
  private long window;
  private boolean holdsSlot = true;

  /**
   * Creates an attempt.
   *
   * @param minimumPosition the position that the endpoint's log must hold
   * @param wrapped whether the read is wrapped in a transaction of the gateway
   * @param transaction the open transaction that the statement continues
   */
  StatementAttempt(
      PendingStatement statement,
      EndpointPool pool,
      EndpointConnection connection,
      Optional<Position> minimumPosition,
      boolean wrapped,
      Optional<OpenTransaction> transaction,
      long now,
      ResultHandler resultHandler) {
    this.statement = statement;
    this.pool = pool;
    this.connection = connection;
    this.minimumPosition = minimumPosition;
    this.wrapped = wrapped;
    this.scope = transaction.map(OpenTransaction::scope).orElseGet(this::initialScope);
    this.startedAt = now;
    this.mayWaitForPosition =
        minimumPosition.isPresent() && !pool.lag().hasConfirmed(minimumPosition.get());
    this.resultHandler = resultHandler;
  }

  void start() {
    pool.takeSlot();
    concurrency = pool.runningStatements();
    pool.learned().ifPresent(limit -> timerDelayAtStart = limit.timerDelay(startedAt));
    connection.setOpeningGuard(() -> resultHandler.isKeyHeld(this));
    StatementRequest request = statement.request();
    alignment = connection.alignSession(request.values(), request.prepared());
    if (!alignment.isEmpty()) {
      resultHandler.onAligning(this, alignment);
    }
    if (beginsTransaction()) {
      stage = Stage.BEGINNING;
      boolean readOnly = scope == TransactionScope.READ_ONLY;
      List<EndpointCommand> commands = new ArrayList<>(alignment);
      commands.add(new EndpointCommand.Begin(readOnly, minimumPosition));
      statementIndex = commands.size() - 1;
      connection.exchange(commands, this);
    } else if (alignment.isEmpty()) {
      sendStatement(minimumPosition);
    } else {
      stage = Stage.ALIGNING;
      statementIndex = alignment.size() - 1;
      connection.exchange(alignment, this);
    }
  }

  private void sendStatement(Optional<Position> position) {
    stage = Stage.RUNNING;
    statementIndex = 0;
    List<EndpointCommand> commands = new ArrayList<>();
    commands.add(statementCommand(position));
    window = resultHandler.onSent(this);
    if (wrapped) {
      commands.add(new EndpointCommand.Rollback());
    }
    connection.exchange(commands, this);
  }

  private boolean beginsTransaction() {
    return wrapped || statement.request().beginsTransaction();
  }

  private TransactionScope initialScope() {
    return beginsTransaction()
        ? TransactionScope.begun(!statement.needsPrimary())
        : TransactionScope.NONE;
  }

  private EndpointCommand statementCommand(Optional<Position> position) {
    StatementRequest request = statement.request();
    if (request.operation() == Operation.COMMIT) {
      return new EndpointCommand.Commit(request.requestId(), request.text());
    }
    Optional<PreparedShape> prepared = request.prepared();
    return prepared.isPresent()
        ? new EndpointCommand.Execute(
            request.requestId(), connection.preparedName(prepared.get()), request.text(), position)
        : new EndpointCommand.Run(request.requestId(), request.text(), position);
  }

  @Override
  public void onReply(int index, EndpointReply reply) {
    if (index < statementIndex || stage == Stage.ALIGNING) {
      onAlignmentReply(index, reply);
      return;
    }
    switch (stage) {
      case BEGINNING -> onBeginReply(reply);
      case RUNNING -> onStatementReply(reply);
      case ENDED -> resultHandler.onWrappingTransactionEnded(this, reply);
      default -> throw new IllegalStateException("unknown stage " + stage);
    }
  }

  private void onAlignmentReply(int index, EndpointReply reply) {
    if (stage == Stage.ENDED) {
      return;
    }
    if (!reply.isSuccess()) {
      stage = Stage.ENDED;
      releaseSlot();
      connection.close();
      resultHandler.onAlignmentRefused(this, alignment.get(index), reply);
    } else if (stage == Stage.ALIGNING && index == statementIndex) {
      onAligned();
    }
  }

  private void onAligned() {
    alignedAt = connection.lastUsedAt();
    boolean isOver = statement.isDone() || alignedAt >= statement.deadline();
    if (isOver || !resultHandler.isKeyHeld(this)) {
      endBeforeSent();
    } else {
      sendStatement(minimumPosition);
    }
  }

  private void endBeforeSent() {
    stage = Stage.ENDED;
    releaseSlot();
    resultHandler.onEndedBeforeSent(this);
  }

  private void onBeginReply(EndpointReply reply) {
    if (!reply.isSuccess()) {
      stage = Stage.ENDED;
      releaseSlot();
      resultHandler.onBeginRefused(this, reply);
      return;
    }
    if (resultHandler.isKeyHeld(this)) {
      sendStatement(Optional.empty());
    } else {
      // The endpoint rolls back the transaction of a closed connection.
      connection.close();
      endBeforeSent();
    }
  }

  private void onStatementReply(EndpointReply reply) {
    stage = Stage.ENDED;
    releaseSlot();
    if (!CountingRule.hasBegun(reply.code())) {
      resultHandler.onTurnedAway(this, window);
    }
    resultHandler.onReply(this, reply);
  }

  @Override
  public void onLost(int index, EndpointConnection.Loss loss, boolean sent) {
    if (stage == Stage.ENDED || index != statementIndex) {
      return;
    }
    boolean statementSent = sent && stage == Stage.RUNNING;
    if (!sent && stage == Stage.RUNNING) {
      resultHandler.onTurnedAway(this, window);
    }
    stage = Stage.ENDED;
    releaseSlot();
    resultHandler.onLost(this, loss, statementSent);
  }

  private void releaseSlot() {
    if (holdsSlot) {
      holdsSlot = false;
      pool.releaseSlot();
    }
  }

  PendingStatement statement() {
    return statement;
  }

  EndpointPool pool() {
    return pool;
  }

  EndpointConnection connection() {
    return connection;
  }

  /** Returns whether the attempt may commit a change of the data at an endpoint. */
  boolean mayCommitAt(EndpointPool endpoint) {
    return pool == endpoint && statement.request().operation().mayCommit();
  }

  /** Returns whether the statement is the first one of a transaction of the given VM's run. */
  boolean beginsTransactionOf(VmRun origin) {
    return statement.request().beginsTransaction() && statement.origin().equals(origin);
  }

  boolean isWrapped() {
    return wrapped;
  }

  /** Returns the transaction at the endpoint in which the statement runs. */
  TransactionScope scope() {
    return scope;
  }

  boolean isEnded() {
    return stage == Stage.ENDED;
  }

  long startedAt() {
    return startedAt;
  }

  /**
   * Returns whether the endpoint may have to wait for replication before it runs the statement: no
   * reply before this attempt has shown the position that it needs.
   */
  boolean mayWaitForPosition() {
    return mayWaitForPosition;
  }

  /** Returns the statements in flight at the endpoint after this one was started. */
  int concurrency() {
    return concurrency;
  }

  /** Returns the total delay of this VM's timers when the attempt started, in milliseconds. */
  long timerDelayAtStart() {
    return timerDelayAtStart;
  }

  /** Records that the learned limit counts this attempt among the overdue ones. */
  void countOverdue() {
    countedOverdue = true;
  }

  boolean isCountedOverdue() {
    return countedOverdue;
  }

  /** Returns whether the endpoint has accepted the connection. */
  boolean isSent() {
    return connection.openedAt() > 0;
  }

  /**
   * Returns when the endpoint could start to work on the statement, on the steady clock in
   * milliseconds. The time to open a connection does not count as service time: after a restart of
   * all VMs it would raise the expected waits so far that no statement is admitted. The time to
   * align it does not count either.
   */
  long sentAt() {
    return Math.max(Math.max(startedAt, alignedAt), connection.openedAt());
  }
}
