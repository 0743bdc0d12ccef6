package org.toucanmast.core.statement;

/** What a gateway is asked to do for a session. */
public enum Operation {
  /** A read outside a transaction. */
  READ(false, true),
  /** A write outside a transaction. */
  WRITE(false, false),
  /** A read inside a transaction. */
  TRANSACTION_READ(true, true),
  /** A write inside a transaction. */
  TRANSACTION_WRITE(true, true),
  /** The commit of a transaction. */
  COMMIT(true, false),
  /** The rollback of a transaction. */
  ROLLBACK(true, true);

  private final boolean inTransaction;
  private final boolean harmlessWhenLost;

  Operation(boolean inTransaction, boolean harmlessWhenLost) {
    this.inTransaction = inTransaction;
    this.harmlessWhenLost = harmlessWhenLost;
  }

  /** Returns whether this belongs to a transaction of the caller. */
  public boolean inTransaction() {
    return inTransaction;
  }

  /** Returns the result when this was sent and its answer will not come. */
  public ResultCode resultWhenAnswerIsLost() {
    return harmlessWhenLost ? ResultCode.ABORTED : ResultCode.IN_DOUBT;
  }
}
