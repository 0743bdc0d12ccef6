package org.toucanmast.runtime.request;

import java.util.List;
import org.toucanmast.core.session.SessionToken;

/**
 * The whole answer to a request.
 *
 * @param rows the result of each statement
 * @param token what the session has seen now
 * @param endpoint the endpoint that ran it
 * @param replica whether that was a replica
 * @param duplicate whether the same request id had run before
 * @param transaction the handle of a transaction, or an empty text
 */
public record CallerAnswer(
    List<String> rows,
    SessionToken token,
    String endpoint,
    boolean replica,
    boolean duplicate,
    String transaction) {

  /** Keeps a copy of the rows. */
  public CallerAnswer {
    rows = List.copyOf(rows);
  }

  /** Returns the same answer with a transaction handle. */
  public CallerAnswer withTransaction(String handle) {
    return new CallerAnswer(rows, token, endpoint, replica, duplicate, handle);
  }
}
