package org.toucanmast.runtime.endpoint;

import java.util.List;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.Position;

/**
 * The reply of an endpoint to a call.
 *
 * @param result whether the endpoint performed the operation
 * @param status the status of the endpoint after the call
 * @param position the log position of a write, or the end of the log at a read
 * @param rows the result of each statement
 * @param duplicate whether a request with the same id had run before; it was not run again
 * @param message the reason of a refusal
 */
public record EndpointReply(
    Result result,
    EndpointStatus status,
    Position position,
    List<String> rows,
    boolean duplicate,
    String message) {

  /** Whether the endpoint performed the operation; with any value but RAN, nothing ran. */
  public enum Result {
    /** The operation was performed. */
    RAN,
    /** The endpoint is in another term than the call. */
    WRONG_TERM,
    /** The endpoint is not the primary. */
    NOT_PRIMARY,
    /** A statement was refused, so the whole call was refused. */
    REFUSED,
    /** No transaction is open on the connection. */
    NO_TRANSACTION
  }

  /** Copies the list of rows. */
  public EndpointReply {
    rows = List.copyOf(rows);
  }
}
