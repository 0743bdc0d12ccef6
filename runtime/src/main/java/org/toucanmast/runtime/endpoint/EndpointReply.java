package org.toucanmast.runtime.endpoint;

import java.util.List;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.Position;

/**
 * What an endpoint answered.
 *
 * @param result whether it did what was asked
 * @param status what it said of itself, after the request
 * @param position the log position of a write, or the end of the log that a read saw
 * @param rows the result of each statement
 * @param duplicate whether the same request id had run before; nothing ran again then
 * @param message the reason of a refusal
 */
public record EndpointReply(
    Result result,
    EndpointStatus status,
    Position position,
    List<String> rows,
    boolean duplicate,
    String message) {

  /** Whether the endpoint did what was asked; every value but RAN means that nothing ran. */
  public enum Result {
    /** Done. */
    RAN,
    /** The endpoint is in another term than the request. */
    WRONG_TERM,
    /** The endpoint is not the primary. */
    NOT_PRIMARY,
    /** A statement was refused, and the request with it. */
    REFUSED,
    /** The connection holds no transaction. */
    NO_TRANSACTION
  }

  /** Keeps a copy of the rows. */
  public EndpointReply {
    rows = List.copyOf(rows);
  }
}
