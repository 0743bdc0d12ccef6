package org.toucanmast.runtime.platform;

/** Thrown when a call to the platform did not end as expected. */
public final class PlatformException extends Exception {

  /** What went wrong. */
  public enum Kind {
    /** The object has another version than the edit was made from. */
    CONFLICT,
    /** The object does not exist. */
    MISSING,
    /** No answer came; a change may have taken effect. */
    NO_ANSWER,
    /** The platform refused the call or answered something that cannot be read. */
    BAD_ANSWER
  }

  private final Kind kind;

  /** Creates the error. */
  public PlatformException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns what went wrong. */
  public Kind kind() {
    return kind;
  }
}
