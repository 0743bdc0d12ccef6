package org.toucanmast.core.statement;

import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.group.Position;

/**
 * A statement on its way to the gateway of its database group.
 *
 * @param requestId the caller's id of the statement
 * @param group the database group
 * @param customer who the statement runs for
 * @param operation what to do
 * @param text the statement's text, or the arguments when a prepared statement is run
 * @param prepared the prepared statement to run
 * @param values the session's values
 * @param kind how fresh the data must be
 * @param stalenessInMilliseconds how old data may be, on kinds that allow replicas
 * @param seen the newest position that the session's own commits reached
 * @param transaction the gateway's handle of the open transaction, or {@link #NO_TRANSACTION}
 * @param readOnly whether the transaction only reads
 * @param priority 0 is the highest
 * @param remainingInMilliseconds how long an answer is useful
 */
public record StatementRequest(
    String requestId,
    String group,
    String customer,
    Operation operation,
    String text,
    Optional<PreparedShape> prepared,
    Map<String, String> values,
    RouteKind kind,
    long stalenessInMilliseconds,
    Position seen,
    long transaction,
    boolean readOnly,
    int priority,
    long remainingInMilliseconds) {

  /** The handle when no transaction is open at the gateway yet. */
  public static final long NO_TRANSACTION = 0;

  /** Copies the values. */
  public StatementRequest {
    values = Map.copyOf(values);
  }

  /** Returns whether only the primary can run this. */
  public boolean needsPrimary() {
    return switch (operation) {
      case WRITE, TRANSACTION_WRITE -> true;
      case READ -> !kind.replicasAllowed();
      case TRANSACTION_READ, COMMIT, ROLLBACK -> !readOnly || !kind.replicasAllowed();
    };
  }

  /** Returns whether a transaction must be begun before this can run. */
  public boolean beginsTransaction() {
    return operation.inTransaction() && transaction == NO_TRANSACTION;
  }

  /** Returns this request with another time left. */
  public StatementRequest withRemaining(long milliseconds) {
    return new StatementRequest(
        requestId,
        group,
        customer,
        operation,
        text,
        prepared,
        values,
        kind,
        stalenessInMilliseconds,
        seen,
        transaction,
        readOnly,
        priority,
        milliseconds);
  }
}
