package org.toucanmast.runtime.request;

import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.core.session.SessionToken;

/** Thrown when a request ends without an answer; carries the session token for its caller. */
public final class RequestFailure extends Exception {
  private final transient RefusedException refused;
  private final transient SessionToken token;

  /** Creates a failure with a refusal and the session token to return to the caller. */
  public RequestFailure(RefusedException refused, SessionToken token) {
    super(refused.getMessage(), refused);
    this.refused = refused;
    this.token = token;
  }

  /**
   * Returns the failure of a request whose processing failed. A cause other than a {@link
   * RequestFailure} or {@link RefusedException} is reported as unavailable.
   */
  public static RequestFailure of(Throwable cause, SessionToken token) {
    return cause instanceof RequestFailure failure
        ? failure
        : new RequestFailure(refusalOf(cause), token);
  }

  /** Returns the cause if it is a refusal, or else a refusal as unavailable. */
  static RefusedException refusalOf(Throwable cause) {
    return cause instanceof RefusedException refused
        ? refused
        : new RefusedException(Refusal.UNAVAILABLE);
  }

  /** Returns the refusal, which holds the outcome of the request. */
  public RefusedException refused() {
    return refused;
  }

  /** Returns the session token to return to the caller. */
  public SessionToken token() {
    return token;
  }
}
