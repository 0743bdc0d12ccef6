package org.toucanmast.runtime.endpoint;

/** Thrown when a call to an endpoint got no usable reply. */
public final class EndpointException extends Exception {

  /** Whether the call was sent. */
  public enum Kind {
    /** The call was not sent and did not run. */
    NOT_SENT,
    /** The call was sent and may have run. */
    NO_ANSWER
  }

  private final Kind kind;

  /** Creates an exception. */
  public EndpointException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns whether the call was sent. */
  public Kind kind() {
    return kind;
  }
}
