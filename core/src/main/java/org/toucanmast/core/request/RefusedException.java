package org.toucanmast.core.request;

/** Thrown when a request ends without a result. */
public final class RefusedException extends Exception {
  private final Refusal refusal;
  private final Outcome outcome;

  /** Creates an exception with the message of the refusal. */
  public RefusedException(Refusal refusal) {
    this(refusal, refusal.message());
  }

  /** Creates an exception with a specific message. */
  public RefusedException(Refusal refusal, String message) {
    this(refusal, message, refusal.outcome());
  }

  private RefusedException(Refusal refusal, String message, Outcome outcome) {
    super(message);
    this.refusal = refusal;
    this.outcome = outcome;
  }

  /** Returns a copy for a request that may have run in an earlier attempt. */
  public RefusedException withUnknownOutcome() {
    return new RefusedException(refusal, getMessage(), Outcome.UNKNOWN);
  }

  /** Returns whether the request ran. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns why the request was refused. */
  public Refusal refusal() {
    return refusal;
  }
}
