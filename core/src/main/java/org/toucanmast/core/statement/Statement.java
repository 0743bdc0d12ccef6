package org.toucanmast.core.statement;

/** What a caller asks of its session. */
public sealed interface Statement {

  /** Begins a transaction. */
  record Begin(boolean readOnly) implements Statement {}

  /** Commits the open transaction; the text is passed on unchanged. */
  record Commit(String text) implements Statement {}

  /** Rolls the open transaction back. */
  record Rollback() implements Statement {}

  /** Reads or writes; the text is passed on unchanged. */
  record Run(Access access, String text) implements Statement {}

  /** Runs a prepared statement with arguments, which are passed on unchanged. */
  record Execute(String name, String arguments) implements Statement {}

  /** Sets a value of the session. */
  record SetValue(String name, String value) implements Statement {}

  /** Names a prepared statement for the session. */
  record Prepare(String name, PreparedShape shape) implements Statement {}

  /** Drops a prepared statement's name. */
  record Deallocate(String name) implements Statement {}

  /** A statement that cannot be understood. */
  record Invalid(String reason) implements Statement {}
}
