package org.toucanmast.core.statement;

import java.util.List;
import org.toucanmast.core.group.Position;

/**
 * What a gateway answers.
 *
 * @param code how the statement ended
 * @param rows the rows, in order
 * @param text the endpoint's signature of a success, or a reason for people
 * @param position the endpoint's log position, or {@link Position#NONE}
 * @param transaction the handle of the transaction that is open now, or {@link
 *     StatementRequest#NO_TRANSACTION}
 */
public record StatementResult(
    ResultCode code, List<String> rows, String text, Position position, long transaction) {
  /** Copies the rows. */
  public StatementResult {
    rows = List.copyOf(rows);
  }

  /** Returns a result without rows. */
  public static StatementResult failure(ResultCode code, String reason) {
    return new StatementResult(
        code, List.of(), reason, Position.NONE, StatementRequest.NO_TRANSACTION);
  }

  /** Returns a success that no endpoint was asked for. */
  public static StatementResult done() {
    return new StatementResult(
        ResultCode.SUCCESS, List.of(), "", Position.NONE, StatementRequest.NO_TRANSACTION);
  }

  /** Returns what an endpoint replied. */
  public static StatementResult of(EndpointReply reply, long transaction) {
    return new StatementResult(
        reply.code(), reply.rows(), reply.text(), reply.position(), transaction);
  }

  /** Returns whether the statement ran and its answer is whole. */
  public boolean isSuccess() {
    return code == ResultCode.SUCCESS;
  }
}
