package org.toucanmast.runtime.request;

import java.util.List;
import org.toucanmast.core.request.RequestKind;
import org.toucanmast.core.routing.ReadFreshness;
import org.toucanmast.core.session.SessionToken;

/**
 * One request of a caller, checked.
 *
 * @param id identifies it in logs, and repeated sendings of it at the database
 * @param principal on whose behalf it runs
 * @param database the database it names
 * @param kind what its statements do
 * @param freshness how fresh a read must be
 * @param token what its session has seen
 * @param statements the statements
 * @param arrivedAt when it came, in nanoseconds
 * @param deadline when it ends, in nanoseconds
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

  /** Keeps a copy of the statements. */
  public CallerRequest {
    statements = List.copyOf(statements);
  }

  /** Returns the same request with another token. */
  CallerRequest withToken(SessionToken changed) {
    return new CallerRequest(
        id, principal, database, kind, freshness, changed, statements, arrivedAt, deadline);
  }
}
