package org.toucanmast.core.statement;

import java.util.List;
import org.toucanmast.core.group.Position;

/**
 * The result of a statement that a gateway returns to a session.
 *
 * @param code the outcome of the statement
 * @param rows the rows, in the order received
 * @param text the endpoint's signature on success, a human-readable reason otherwise
 * @param position the endpoint's log position, or {@link Position#NONE}
 * @param transaction the handle of the transaction that is open after the statement, or {@link
 *     StatementRequest#NO_TRANSACTION}
 */
public record StatementResult(
    ResultCode code, List<String> rows, String text, Position position, long transaction) {
  /** Creates a result with an unmodifiable copy of the rows. */
  public StatementResult {
    rows = List.copyOf(rows);
  }

  /** Returns a failure without rows, log position or open transaction. */
  public static StatementResult failure(ResultCode code, String reason) {
    return new StatementResult(
        code, List.of(), reason, Position.NONE, StatementRequest.NO_TRANSACTION);
  }

  /** Returns a success without rows, for statements that the gateway answers itself. */
  public static StatementResult emptySuccess() {
    return new StatementResult(
        ResultCode.SUCCESS, List.of(), "", Position.NONE, StatementRequest.NO_TRANSACTION);
  }

  /** Returns the result that an endpoint's reply stands for. */
  public static StatementResult of(EndpointReply reply, long transaction) {
    return new StatementResult(
        reply.code(), reply.rows(), reply.text(), reply.position(), transaction);
  }

  /**
   * Returns the result that remains if the rows cannot be passed on: a success becomes a failure,
   * in doubt if the statement may have changed data, and a transaction is no longer open.
   */
  public StatementResult withoutRows(Operation operation, String reason) {
    if (!isSuccess()) {
      return failure(code, text);
    }
    return failure(operation.mayCommit() ? ResultCode.IN_DOUBT : ResultCode.FAILED, reason);
  }

  /** Returns whether the statement ran and its answer is complete. */
  public boolean isSuccess() {
    return code == ResultCode.SUCCESS;
  }
}
