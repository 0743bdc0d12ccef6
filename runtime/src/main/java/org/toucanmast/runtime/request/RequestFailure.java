package org.toucanmast.runtime.request;

import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.core.session.SessionToken;

/** Thrown when a request ends without a result; carries the session token for its caller. */
public final class RequestFailure extends Exception {
  private final transient RefusedException refused;
  private final transient SessionToken token;

  /** Creates the failure from the refusal and what the session has seen. */
  public RequestFailure(RefusedException refused, SessionToken token) {
    super(refused.getMessage(), refused);
    this.refused = refused;
    this.token = token;
  }

  /**
   * Returns the failure of a request whose processing ended with a cause; what is not known here
   * counts as unavailable.
   */
  public static RequestFailure of(Throwable cause, SessionToken token) {
    return cause instanceof RequestFailure failure
        ? failure
        : new RequestFailure(refusalOf(cause), token);
  }

  /** Returns the refusal in a cause; what is not known here counts as unavailable. */
  static RefusedException refusalOf(Throwable cause) {
    return cause instanceof RefusedException refused
        ? refused
        : new RefusedException(Refusal.UNAVAILABLE);
  }

  /** Returns the refusal. */
  public RefusedException refused() {
    return refused;
  }

  /** Returns what the session has seen. */
  public SessionToken token() {
    return token;
  }
}
