package org.toucanmast.core.statement;

/** An operation that a gateway runs for a session. */
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
  private final boolean noEffectWhenAnswerIsLost;

  Operation(boolean inTransaction, boolean noEffectWhenAnswerIsLost) {
    this.inTransaction = inTransaction;
    this.noEffectWhenAnswerIsLost = noEffectWhenAnswerIsLost;
  }

  /** Returns whether this operation belongs to a transaction that the caller began. */
  public boolean inTransaction() {
    return inTransaction;
  }

  /** Returns whether the operation can commit a change of the data. */
  public boolean mayCommit() {
    return this == WRITE || this == COMMIT;
  }

  /**
   * Returns the result of an operation that was sent and whose answer was lost: {@link
   * ResultCode#ABORTED} when it cannot have had a lasting effect, {@link ResultCode#IN_DOUBT}
   * otherwise.
   */
  public ResultCode resultWhenAnswerIsLost() {
    return noEffectWhenAnswerIsLost ? ResultCode.ABORTED : ResultCode.IN_DOUBT;
  }
}
