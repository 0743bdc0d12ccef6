package org.toucanmast.runtime.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.stop.StopPhase;

/** Ends statements that wait at a gateway, in its queues or for a slot of their transaction. */
final class WaitingStatements {
  private final OpenTransactions transactions;
  private final StatementQueues queues;
  private final Consumer<OpenTransaction> rollBack;
  private boolean refusing;

  WaitingStatements(
      OpenTransactions transactions, StatementQueues queues, Consumer<OpenTransaction> rollBack) {
    this.transactions = transactions;
    this.queues = queues;
    this.rollBack = rollBack;
  }

  /** Fails the matching statements; they have not run. */
  void failIf(Predicate<PendingStatement> condition, String reason) {
    transactions.failWaitingIf(condition, reason);
    queues.failIf(condition, reason);
  }

  /** Fails the statements of transactions whose deadline has passed. */
  void expireInTransactions(long now) {
    for (PendingStatement statement : transactions.waitingStatements()) {
      Optional<OpenTransaction> transaction = transactions.find(statement.request());
      if (transaction.isPresent() && now >= statement.deadline()) {
        transactions.removeWaiting(statement);
        rollBack.accept(transaction.get());
        statement.fail(ResultCode.ABORTED, "waited too long for a slot");
      }
    }
  }

  /** Refuses all statements from now on. */
  void beginToRefuse() {
    refusing = true;
    refuseAll();
  }

  /** Refuses the statements that wait, if statements are refused; returns whether they are. */
  boolean refuseAll() {
    if (refusing) {
      for (PendingStatement statement : transactions.waitingStatements()) {
        transactions.removeWaiting(statement);
        transactions.find(statement.request()).ifPresent(rollBack);
        refuse(statement);
      }
      queues.removeIf(statement -> !statement.hasRunningAttempt()).forEach(this::refuse);
    }
    return refusing;
  }

  /** Refuses a statement that arrives, if statements are refused; returns whether it did. */
  boolean refuses(PendingStatement statement) {
    boolean refused = refusing && statement.request().operation() != Operation.ROLLBACK;
    if (refused) {
      refuse(statement);
    }
    return refused;
  }

  private void refuse(PendingStatement statement) {
    StatementRequest request = statement.request();
    if (request.transaction() != StatementRequest.NO_TRANSACTION) {
      transactions
          .find(request)
          .filter(transaction -> !transaction.isRunning())
          .ifPresent(rollBack);
      statement.fail(ResultCode.ABORTED, StopPhase.REASON);
    } else if (request.nearbyOnly()) {
      statement.failNotNearby();
    } else {
      statement.fail(ResultCode.BUSY, StopPhase.REASON);
    }
  }
}
