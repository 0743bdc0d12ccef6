package org.toucanmast.runtime.platform;

/** Thrown when a call to the platform failed. */
public final class PlatformException extends Exception {

  /** The kind of failure. */
  public enum Kind {
    /** The object has another version than the one that the edit was made from. */
    CONFLICT,
    /** The object does not exist. */
    MISSING,
    /** The platform did not answer; an edit may have taken effect. */
    NO_ANSWER,
    /** The platform refused the call or sent an invalid answer. */
    BAD_ANSWER
  }

  private final Kind kind;

  /** Creates an exception. */
  public PlatformException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns the kind of failure. */
  public Kind kind() {
    return kind;
  }
}
