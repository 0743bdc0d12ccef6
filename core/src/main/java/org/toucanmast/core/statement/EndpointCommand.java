package org.toucanmast.core.statement;

import java.util.Optional;
import org.toucanmast.core.group.Position;

/** A command that a gateway sends to an endpoint on one connection; each command has one reply. */
public sealed interface EndpointCommand {

  /** Opens the connection for a customer; an endpoint with another id refuses it. */
  record Open(String group, String customer, String endpointId) implements EndpointCommand {}

  /**
   * Runs a caller's statement, with the caller's request id and text unchanged.
   *
   * @param after the position that the endpoint's log must have reached
   */
  record Run(String requestId, String text, Optional<Position> after) implements EndpointCommand {}

  /** Runs a prepared statement by its name on this connection. */
  record Execute(String requestId, String name, String arguments, Optional<Position> after)
      implements EndpointCommand {}

  /** Begins a transaction. */
  record Begin(boolean readOnly, Optional<Position> after) implements EndpointCommand {}

  /** Commits the transaction, with the caller's request id and text unchanged. */
  record Commit(String requestId, String text) implements EndpointCommand {}

  /** Rolls the transaction back. */
  record Rollback() implements EndpointCommand {}

  /** Sets a session variable of the connection. */
  record SetValue(String name, String value) implements EndpointCommand {}

  /** Prepares a statement under a name on the connection. */
  record Prepare(String name, PreparedShape shape) implements EndpointCommand {}

  /** Discards all session variables and prepared statements of the connection. */
  record Reset() implements EndpointCommand {}

  /** Requests the endpoint's role, term and log positions. */
  record Status() implements EndpointCommand {}
}
