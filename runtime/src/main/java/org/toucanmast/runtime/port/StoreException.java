package org.toucanmast.runtime.port;

/** A call to the store that did not succeed. */
public final class StoreException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Why the call did not succeed. */
  public enum Reason {
    /** The object is not there. */
    MISSING,
    /** The object exists, or has another revision than expected. */
    CONFLICT,
    /** The history since the revision is no longer kept. */
    HISTORY_GONE,
    /** The store did nothing. */
    REFUSED,
    /** No whole answer came; the call may have been executed, or may be later. */
    UNKNOWN
  }

  private final Reason reason;

  /** Creates the error. */
  public StoreException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  /** Returns why the call did not succeed. */
  public Reason reason() {
    return reason;
  }
}
