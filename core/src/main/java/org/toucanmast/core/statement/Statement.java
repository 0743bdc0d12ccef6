package org.toucanmast.core.statement;

/** A statement that a caller sends in its session. */
public sealed interface Statement {

  /** Begins a transaction. */
  record Begin(boolean readOnly) implements Statement {}

  /** Commits the open transaction; the text is forwarded unchanged. */
  record Commit(String text) implements Statement {}

  /** Rolls the open transaction back. */
  record Rollback() implements Statement {}

  /** Reads or writes; the text is forwarded unchanged. */
  record Run(Access access, String text) implements Statement {}

  /** Runs a prepared statement; the arguments are forwarded unchanged. */
  record Execute(String name, String arguments) implements Statement {}

  /** Sets a session variable. */
  record SetValue(String name, String value) implements Statement {}

  /** Prepares a statement under a name in the session. */
  record Prepare(String name, PreparedShape shape) implements Statement {}

  /** Removes a prepared statement from the session. */
  record Deallocate(String name) implements Statement {}

  /** A statement that is refused because of its text. */
  record Invalid(ResultCode code, String reason) implements Statement {}
}
