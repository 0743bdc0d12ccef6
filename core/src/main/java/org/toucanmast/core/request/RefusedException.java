package org.toucanmast.core.request;

/** Thrown when a request ends without a result. */
public final class RefusedException extends Exception {
  private final Refusal refusal;

  /** Creates the error with the refusal's own message. */
  public RefusedException(Refusal refusal) {
    this(refusal, refusal.message());
  }

  /** Creates the error with a message of its own. */
  public RefusedException(Refusal refusal, String message) {
    super(message);
    this.refusal = refusal;
  }

  /** Returns why the request was refused. */
  public Refusal refusal() {
    return refusal;
  }
}
