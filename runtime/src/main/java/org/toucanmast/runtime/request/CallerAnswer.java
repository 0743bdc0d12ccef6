package org.toucanmast.runtime.request;

import java.util.List;
import org.toucanmast.core.session.SessionToken;

/**
 * The answer to a request that ran.
 *
 * @param rows the result of each statement
 * @param token the session token that covers this answer
 * @param endpoint the endpoint that ran the request
 * @param replica whether that endpoint was a replica
 * @param duplicate whether a request with the same id had run before
 * @param transaction the handle of the request's transaction, or an empty text
 */
public record CallerAnswer(
    List<String> rows,
    SessionToken token,
    String endpoint,
    boolean replica,
    boolean duplicate,
    String transaction) {

  /** Copies the rows. */
  public CallerAnswer {
    rows = List.copyOf(rows);
  }

  /** Returns a copy of this answer with a transaction handle. */
  public CallerAnswer withTransaction(String handle) {
    return new CallerAnswer(rows, token, endpoint, replica, duplicate, handle);
  }
}
