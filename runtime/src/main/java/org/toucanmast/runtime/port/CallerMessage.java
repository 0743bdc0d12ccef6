package org.toucanmast.runtime.port;

import org.toucanmast.core.statement.Statement;

/** A message from a caller. */
public sealed interface CallerMessage {

  /**
   * Opens the session.
   *
   * @param database the name of the database
   * @param key the caller's key; empty if the caller has none
   */
  record Open(String database, String key) implements CallerMessage {}

  /**
   * Runs a statement.
   *
   * @param requestId the caller's id of the statement
   * @param statement the parsed statement
   */
  record Query(String requestId, Statement statement) implements CallerMessage {}

  /** Ends the session. */
  record Close() implements CallerMessage {}
}
