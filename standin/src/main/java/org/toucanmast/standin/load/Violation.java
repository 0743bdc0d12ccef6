package org.toucanmast.standin.load;

/**
 * A violation of one of the proxy's promises that a history shows.
 *
 * @param promise the promise that was broken
 * @param detail the requests and values that show it
 */
public record Violation(Promise promise, String detail) {

  /** A promise that histories are checked for. */
  public enum Promise {
    /** A session reads its own acknowledged writes. */
    READ_YOUR_WRITES,
    /** A request takes effect at most once. */
    AT_MOST_ONCE,
    /** Every acknowledged write is present in the final read of its key. */
    ACKNOWLEDGED_IS_KEPT,
    /** A write that was refused as not run has no effect. */
    NOT_RUN_IS_TRUE,
    /** A response holds only writes to the key that was read. */
    OWN_ANSWERS,
    /** No time window holds more admitted requests than burst and rate allow. */
    ALLOWANCE
  }
}
