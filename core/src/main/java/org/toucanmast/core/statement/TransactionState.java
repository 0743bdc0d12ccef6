package org.toucanmast.core.statement;

/** Whether a session has a transaction. */
public enum TransactionState {
  /** No transaction is open. */
  NONE,
  /** A transaction is open. */
  OPEN,
  /** A transaction failed and must be ended. */
  FAILED
}
