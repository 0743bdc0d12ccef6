package org.toucanmast.core.statement;

import java.util.Optional;
import org.toucanmast.core.group.Position;

/** What a gateway says to an endpoint on one connection; each command has one reply. */
public sealed interface EndpointCommand {

  /** Opens the connection for a customer; the endpoint refuses when it has another identity. */
  record Open(String group, String customer, String endpointId) implements EndpointCommand {}

  /**
   * Runs a caller's statement, its id and text unchanged.
   *
   * @param after the position that the endpoint's log must hold
   */
  record Run(String requestId, String text, Optional<Position> after) implements EndpointCommand {}

  /** Runs a prepared statement by the name that it has on this connection. */
  record Execute(String requestId, String name, String arguments, Optional<Position> after)
      implements EndpointCommand {}

  /** Begins a transaction. */
  record Begin(boolean readOnly, Optional<Position> after) implements EndpointCommand {}

  /** Commits the transaction, the caller's id and text unchanged. */
  record Commit(String requestId, String text) implements EndpointCommand {}

  /** Rolls the transaction back. */
  record Rollback() implements EndpointCommand {}

  /** Sets a value of the connection's session. */
  record SetValue(String name, String value) implements EndpointCommand {}

  /** Names a prepared statement on the connection. */
  record Prepare(String name, PreparedShape shape) implements EndpointCommand {}

  /** Drops all values and prepared names of the connection. */
  record Reset() implements EndpointCommand {}

  /** Asks for the endpoint's role, term and positions. */
  record Status() implements EndpointCommand {}
}
