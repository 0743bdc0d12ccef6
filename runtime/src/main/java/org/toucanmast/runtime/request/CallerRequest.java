package org.toucanmast.runtime.request;

import java.util.List;
import org.toucanmast.core.request.RequestKind;
import org.toucanmast.core.routing.ReadFreshness;
import org.toucanmast.core.session.SessionToken;

/**
 * A parsed and validated request of a caller.
 *
 * @param id identifies the request in logs and its retries at the database
 * @param principal on whose behalf the request runs
 * @param database the name of the requested database
 * @param kind whether the statements read or write, and whether they are idempotent
 * @param freshness how fresh the data of a read must be
 * @param token the session token, which records what the session has seen
 * @param statements the statements to run
 * @param arrivedAt when the request arrived, in nanoseconds
 * @param deadline when the request must have ended, in nanoseconds
 */
public record CallerRequest(
    String id,
    Principal principal,
    String database,
    RequestKind kind,
    ReadFreshness freshness,
    SessionToken token,
    List<String> statements,
    long arrivedAt,
    long deadline) {

  /** Copies the statements. */
  public CallerRequest {
    statements = List.copyOf(statements);
  }

  /** Returns a copy of this request with another session token. */
  CallerRequest withToken(SessionToken newToken) {
    return new CallerRequest(
        id, principal, database, kind, freshness, newToken, statements, arrivedAt, deadline);
  }
}
