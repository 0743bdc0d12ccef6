package org.toucanmast.core.scheduling;

/** The outcome of a statement for its caller, as the metrics count it. */
public enum ObjectiveOutcome {
  /** The statement succeeded within the objective of its operation. */
  IN_OBJECTIVE,
  /** The statement succeeded after the objective of its operation. */
  LATE,
  /** The statement was refused and nothing ran. */
  REFUSED,
  /** The statement failed in another way. */
  FAILED;

  /**
   * Returns the outcome of a statement.
   *
   * @param success whether the statement succeeded
   * @param refused whether the statement failed and nothing ran
   * @param leftInMilliseconds what is left of the objective at the answer; negative if it is late
   */
  public static ObjectiveOutcome of(boolean success, boolean refused, long leftInMilliseconds) {
    if (success) {
      return leftInMilliseconds >= 0 ? IN_OBJECTIVE : LATE;
    }
    return refused ? REFUSED : FAILED;
  }
}
