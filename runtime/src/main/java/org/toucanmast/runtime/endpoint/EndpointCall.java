package org.toucanmast.runtime.endpoint;

import java.util.List;
import org.toucanmast.core.request.RequestKind;

/**
 * One call on a connection to an endpoint.
 *
 * @param operation what is asked
 * @param requestId identifies the caller's request; the log keeps it beside a write
 * @param kind what the statements do
 * @param term the term that the call believes in
 * @param primary whether only the primary may run it
 * @param statements the statements
 */
public record EndpointCall(
    Operation operation,
    String requestId,
    RequestKind kind,
    long term,
    boolean primary,
    List<String> statements) {

  /** What is asked. */
  public enum Operation {
    /** Run statements in a transaction of their own. */
    RUN,
    /** Begin a transaction on this connection. */
    BEGIN,
    /** Run statements in the connection's transaction. */
    CONTINUE,
    /** Commit the connection's transaction. */
    COMMIT,
    /** Roll back the connection's transaction. */
    ROLLBACK
  }

  /** Keeps a copy of the statements. */
  public EndpointCall {
    statements = List.copyOf(statements);
  }
}
