package org.toucanmast.core.statement;

import java.util.List;
import org.toucanmast.core.group.Position;

/**
 * An endpoint's complete reply to one command.
 *
 * @param code the result of the command
 * @param rows the rows, in the order received
 * @param text the endpoint's signature on success, the reason on failure
 * @param state the transaction state of the connection after the command
 * @param position the endpoint's log position, or {@link Position#NONE} when the reply has none
 */
public record EndpointReply(
    ResultCode code, List<String> rows, String text, TransactionState state, Position position) {
  /** Creates a reply with an unmodifiable copy of the rows. */
  public EndpointReply {
    rows = List.copyOf(rows);
  }

  /** Returns whether the command succeeded. */
  public boolean isSuccess() {
    return code == ResultCode.SUCCESS;
  }
}
