package org.toucanmast.core.failover;

import org.toucanmast.core.statement.Operation;

/**
 * The transaction at an endpoint in which a statement runs, as far as it decides whether a
 * successful reply proves that the endpoint was the primary of its group.
 *
 * <p>A former primary refuses the statements of a plain transaction that it began as the primary,
 * with one exception: it answers the COMMIT of a transaction that has written nothing.
 */
public enum TransactionScope {
  /** No transaction: every endpoint runs reads, only the primary runs writes. */
  NONE(false),
  /** A transaction that may only read: every endpoint accepts it. */
  READ_ONLY(false),
  /** A plain transaction that has written nothing. */
  NOTHING_WRITTEN(true),
  /** A plain transaction that has written. */
  WRITTEN(true);

  private final boolean plain;

  TransactionScope(boolean plain) {
    this.plain = plain;
  }

  /** Returns the scope of a transaction that has just begun. */
  public static TransactionScope begun(boolean readOnly) {
    return readOnly ? READ_ONLY : NOTHING_WRITTEN;
  }

  /** Returns the scope of the transaction's next statement after an operation succeeded in it. */
  public TransactionScope after(Operation operation) {
    return plain && operation == Operation.TRANSACTION_WRITE ? WRITTEN : this;
  }

  /** Returns whether only the primary can have run an operation successfully in this scope. */
  public boolean provesPrimary(Operation operation) {
    return switch (operation) {
      case WRITE -> true;
      case READ, TRANSACTION_READ, TRANSACTION_WRITE -> plain;
      case COMMIT -> this == WRITTEN;
      case ROLLBACK -> false;
    };
  }
}
