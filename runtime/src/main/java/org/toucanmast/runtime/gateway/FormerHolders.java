package org.toucanmast.runtime.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;

/**
 * Refuses statements of customers that no longer hold the key by which the statements were made,
 * and ends what waits or is open for them. Each refusal promises that nothing is kept.
 */
final class FormerHolders {
  private final GatewayContext context;
  private final OpenTransactions transactions;
  private final StatementQueues queues;
  private final Consumer<OpenTransaction> rollBack;

  FormerHolders(
      GatewayContext context,
      OpenTransactions transactions,
      StatementQueues queues,
      Consumer<OpenTransaction> rollBack) {
    this.context = context;
    this.transactions = transactions;
    this.queues = queues;
    this.rollBack = rollBack;
  }

  /**
   * Refuses a statement whose key has changed hands, and rolls its transaction back; returns
   * whether it did. A rollback is not refused.
   */
  boolean refuses(PendingStatement statement) {
    StatementRequest request = statement.request();
    if (request.operation() == Operation.ROLLBACK || context.isHeld(request.claim())) {
      return false;
    }
    context.metrics().counter("gateway.refused.key-not-held").inc();
    Optional<OpenTransaction> transaction = transactions.find(request);
    transaction.ifPresent(rollBack);
    statement.fail(
        request.operation().inTransaction() ? ResultCode.ABORTED : ResultCode.BUSY,
        KeyClaim.NOT_HELD);
    return true;
  }

  /**
   * Ends waiting statements that have not been sent, and idle transactions, of customers whose key
   * has changed hands. Waiting statements of transactions are refused when they are dispatched.
   */
  void endWork() {
    queues.failIf(
        statement -> !statement.hasRunningAttempt() && !context.isHeld(statement.request().claim()),
        KeyClaim.NOT_HELD);
    transactions.idle().stream()
        .filter(transaction -> !context.isHeld(transaction.claim()))
        .forEach(rollBack);
  }
}
