package org.toucanmast.standin.load;

/**
 * A promise that a history shows broken.
 *
 * @param promise which one
 * @param detail what was seen
 */
public record Violation(Promise promise, String detail) {

  /** The promises that histories are checked for. */
  public enum Promise {
    /** A session reads what it wrote. */
    READ_YOUR_WRITES,
    /** A request takes effect at most once. */
    AT_MOST_ONCE,
    /** What was acknowledged is there in the end. */
    ACKNOWLEDGED_IS_KEPT,
    /** What was refused as not run is not there. */
    NOT_RUN_IS_TRUE,
    /** An answer holds only what belongs to its request. */
    OWN_ANSWERS,
    /** No window holds more than burst and rate allow. */
    ALLOWANCE
  }
}
