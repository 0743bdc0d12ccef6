package org.toucanmast.runtime.port;

/** Thrown if a call to the object store fails. */
public final class StoreException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Why a call failed. */
  public enum Reason {
    /** The object does not exist. */
    MISSING,
    /** The object exists already, or its revision is not the expected one. */
    CONFLICT,
    /** The store no longer keeps the changes since the given revision. */
    HISTORY_GONE,
    /** The answer is longer than this VM reads. */
    TOO_LONG,
    /** The store refused the call and changed nothing. */
    REFUSED,
    /** No complete answer was received; the call may have been executed, or still be. */
    UNKNOWN
  }

  private final Reason reason;

  /** Creates an exception with a reason and a message. */
  public StoreException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  /** Returns why the call failed. */
  public Reason reason() {
    return reason;
  }
}
