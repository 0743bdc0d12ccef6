package org.toucanmast.runtime.endpoint;

import java.util.List;
import org.toucanmast.core.request.RequestKind;

/**
 * A call on a connection to an endpoint.
 *
 * @param operation the operation that the endpoint is to perform
 * @param customer the customer that sends the request; customers choose request ids independently
 * @param requestId the id of the caller's request; the endpoint stores it with the customer and a
 *     write in its log, and repeats no write of the same customer and id
 * @param kind whether the statements read or write
 * @param term the group's term that this VM knows
 * @param requiresPrimary whether only the primary may run the call
 * @param statements the statements to run
 */
public record EndpointCall(
    Operation operation,
    String customer,
    String requestId,
    RequestKind kind,
    long term,
    boolean requiresPrimary,
    List<String> statements) {

  /** The operation that an endpoint is to perform. */
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

  /** Copies the list of statements. */
  public EndpointCall {
    statements = List.copyOf(statements);
  }
}
