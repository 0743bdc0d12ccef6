package org.toucanmast.core.concurrency;

import org.toucanmast.core.statement.Operation;

/** What an endpoint does for an attempt; attempts of one form and priority take similar time. */
public enum StatementForm {
  /** A read outside a transaction. */
  READ,
  /** A write outside a transaction. */
  WRITE,
  /** A transaction is begun before the statement, which takes another round trip. */
  BEGINNING,
  /** A statement of an open transaction. */
  CONTINUING,
  /** The end of a transaction. */
  ENDING;

  /** Priorities from this one on share their estimates. */
  private static final int DISTINCT_PRIORITIES = 4;

  /** Number of kinds that are told apart. */
  static final int KINDS = DISTINCT_PRIORITIES * values().length;

  /** Returns the form of an attempt. */
  public static StatementForm of(Operation operation, boolean beginsTransaction) {
    if (beginsTransaction) {
      return BEGINNING;
    }
    return switch (operation) {
      case READ -> READ;
      case WRITE -> WRITE;
      case TRANSACTION_READ, TRANSACTION_WRITE -> CONTINUING;
      case COMMIT, ROLLBACK -> ENDING;
    };
  }

  /** Returns the index of the kind of statements that have this form and the given priority. */
  public int kind(int priority) {
    return ordinal() * DISTINCT_PRIORITIES
        + Math.max(0, Math.min(DISTINCT_PRIORITIES - 1, priority));
  }
}
