package org.toucanmast.core.statement;

/** The transaction state of a session or of a connection. */
public enum TransactionState {
  /** No transaction is open. */
  NONE,
  /** A transaction is open. */
  OPEN,
  /** The transaction failed; the caller must end it before running other statements. */
  FAILED
}
