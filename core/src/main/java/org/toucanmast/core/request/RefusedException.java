package org.toucanmast.core.request;

/** Thrown when a request ends without a result. */
public final class RefusedException extends Exception {
  private final Refusal refusal;
  private final Outcome outcome;

  /** Creates the error with the refusal's own message. */
  public RefusedException(Refusal refusal) {
    this(refusal, refusal.message());
  }

  /** Creates the error with a message of its own. */
  public RefusedException(Refusal refusal, String message) {
    this(refusal, message, refusal.outcome());
  }

  private RefusedException(Refusal refusal, String message, Outcome outcome) {
    super(message);
    this.refusal = refusal;
    this.outcome = outcome;
  }

  /** Returns the same refusal of a request that may have run before. */
  public RefusedException ofUnknownOutcome() {
    return new RefusedException(refusal, getMessage(), Outcome.UNKNOWN);
  }

  /** Returns what is known of the request. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns why the request was refused. */
  public Refusal refusal() {
    return refusal;
  }
}
