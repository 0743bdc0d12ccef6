package org.toucanmast.core.statement;

import java.util.List;
import org.toucanmast.core.group.Position;

/**
 * An endpoint's whole answer to one command.
 *
 * @param code how the command ended
 * @param rows the rows, in order
 * @param text the signature of a success, or the reason of a failure
 * @param state the state of the connection's transaction afterwards
 * @param position the endpoint's log position, or {@link Position#NONE}
 */
public record EndpointReply(
    ResultCode code, List<String> rows, String text, TransactionState state, Position position) {
  /** Copies the rows. */
  public EndpointReply {
    rows = List.copyOf(rows);
  }

  /** Returns whether the command ran as asked. */
  public boolean isSuccess() {
    return code == ResultCode.SUCCESS;
  }
}
