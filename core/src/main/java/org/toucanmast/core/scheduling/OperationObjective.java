package org.toucanmast.core.scheduling;

/**
 * The latency objective of one operation, a single statement or a transaction.
 *
 * <p>Load: interactive transactions, whose callers pause between statements. Only the time in which
 * the caller waits for an answer counts against the objective.
 *
 * @param totalInMilliseconds the objective of the whole operation
 * @param spentInMilliseconds the time that the finished statements of the operation took
 */
public record OperationObjective(long totalInMilliseconds, long spentInMilliseconds) {
  /**
   * Creates an objective.
   *
   * @throws IllegalArgumentException when the objective is not positive
   */
  public OperationObjective {
    if (totalInMilliseconds <= 0) {
      throw new IllegalArgumentException("objective must be positive: " + totalInMilliseconds);
    }
  }

  /** Returns the objective of an operation that has not begun. */
  public static OperationObjective of(long totalInMilliseconds) {
    return new OperationObjective(totalInMilliseconds, 0);
  }

  /** Returns the objective after a statement that took the given time, in milliseconds. */
  public OperationObjective afterStatement(long milliseconds) {
    return new OperationObjective(
        totalInMilliseconds, spentInMilliseconds + Math.max(0, milliseconds));
  }

  /**
   * Returns what is left of the objective, in milliseconds; negative when it has passed.
   *
   * @param statementReceivedAt when the running statement was received from the caller
   * @param now the current time, in milliseconds
   */
  public long left(long statementReceivedAt, long now) {
    return totalInMilliseconds - spentInMilliseconds - (now - statementReceivedAt);
  }
}
