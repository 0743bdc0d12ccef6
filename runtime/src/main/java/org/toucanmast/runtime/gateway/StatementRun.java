package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.core.statement.StatementRequest;

/**
 * One attempt to run a statement on a connection.
 *
 * <p>A read that needs the primary runs inside a transaction of the gateway's own: the endpoint
 * refuses it there once another one leads, while a lone read would be answered from an old log.
 */
final class StatementRun implements EndpointConnection.ReplyHandler {

  /** How far the attempt is. */
  private enum Stage {
    /** The transaction is being begun; the statement itself was not sent. */
    BEGINNING,
    /** The statement was sent. */
    RUNNING,
    /** The statement's reply came. */
    ENDED
  }

  /** What is done with the outcome. */
  interface Outcome {
    /** The endpoint refused to begin the transaction; the statement was not sent. */
    void onBeginRefused(StatementRun run, EndpointReply reply);

    /** The statement's reply came. */
    void onReply(StatementRun run, EndpointReply reply);

    /** The connection ended; {@code sent} tells whether the statement may have run. */
    void onLost(StatementRun run, EndpointConnection.Loss loss, boolean sent);

    /** The gateway's own transaction around the statement is over. */
    void onWrapperEnded(StatementRun run, EndpointReply reply);
  }

  private final PendingStatement statement;
  private final EndpointPool pool;
  private final EndpointConnection connection;
  private final Outcome outcome;
  private final Optional<Position> after;
  private final boolean wrapped;
  private final long startedAt;
  private Stage stage = Stage.RUNNING;
  private int mainIndex;
  private boolean ownSlot = true;

  /**
   * Creates an attempt.
   *
   * @param after the position that the endpoint's log must hold
   * @param wrapped whether the read runs inside a transaction of the gateway's own
   */
  StatementRun(
      PendingStatement statement,
      EndpointPool pool,
      EndpointConnection connection,
      Optional<Position> after,
      boolean wrapped,
      long now,
      Outcome outcome) {
    this.statement = statement;
    this.pool = pool;
    this.connection = connection;
    this.after = after;
    this.wrapped = wrapped;
    this.startedAt = now;
    this.outcome = outcome;
  }

  void start() {
    pool.takeSlot();
    StatementRequest request = statement.request();
    List<EndpointCommand> commands =
        new ArrayList<>(connection.alignSession(request.values(), request.prepared()));
    if (wrapped || request.beginsTransaction()) {
      stage = Stage.BEGINNING;
      commands.add(new EndpointCommand.Begin(beginsReadOnly(), after));
    } else {
      commands.add(main(after));
    }
    mainIndex = commands.size() - 1;
    connection.exchange(commands, this);
  }

  private boolean beginsReadOnly() {
    return !wrapped && !statement.needsPrimary();
  }

  private EndpointCommand main(Optional<Position> position) {
    StatementRequest request = statement.request();
    if (request.operation() == Operation.COMMIT) {
      return new EndpointCommand.Commit(request.requestId(), request.text());
    }
    Optional<PreparedShape> prepared = request.prepared();
    return prepared.isPresent()
        ? new EndpointCommand.Execute(
            request.requestId(), prepared.get().endpointName(), request.text(), position)
        : new EndpointCommand.Run(request.requestId(), request.text(), position);
  }

  @Override
  public void onReply(int index, EndpointReply reply) {
    if (index < mainIndex) {
      if (!reply.isSuccess()) {
        connection.close();
      }
      return;
    }
    switch (stage) {
      case BEGINNING -> onBegun(reply);
      case RUNNING -> onMain(reply);
      case ENDED -> outcome.onWrapperEnded(this, reply);
      default -> throw new IllegalStateException("unknown stage " + stage);
    }
  }

  private void onBegun(EndpointReply reply) {
    if (!reply.isSuccess()) {
      stage = Stage.ENDED;
      giveSlotBack();
      outcome.onBeginRefused(this, reply);
      return;
    }
    stage = Stage.RUNNING;
    mainIndex = 0;
    List<EndpointCommand> commands = new ArrayList<>();
    commands.add(main(Optional.empty()));
    if (wrapped) {
      commands.add(new EndpointCommand.Rollback());
    }
    connection.exchange(commands, this);
  }

  private void onMain(EndpointReply reply) {
    stage = Stage.ENDED;
    giveSlotBack();
    outcome.onReply(this, reply);
  }

  @Override
  public void onLost(int index, EndpointConnection.Loss loss, boolean sent) {
    if (stage == Stage.ENDED || index != mainIndex) {
      return;
    }
    boolean statementSent = sent && stage == Stage.RUNNING;
    stage = Stage.ENDED;
    giveSlotBack();
    outcome.onLost(this, loss, statementSent);
  }

  private void giveSlotBack() {
    if (ownSlot) {
      ownSlot = false;
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

  boolean isWrapped() {
    return wrapped;
  }

  boolean isEnded() {
    return stage == Stage.ENDED;
  }

  long startedAt() {
    return startedAt;
  }

  /**
   * Returns since when the endpoint could work on it: the opening of a connection is not part of a
   * statement's time, and after a restart of all VMs would make every queue look hopeless.
   */
  long sentAt() {
    return Math.max(startedAt, connection.openedAt());
  }
}
