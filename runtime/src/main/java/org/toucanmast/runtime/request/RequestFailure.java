package org.toucanmast.runtime.request;

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

  /** Returns the refusal. */
  public RefusedException refused() {
    return refused;
  }

  /** Returns what the session has seen. */
  public SessionToken token() {
    return token;
  }
}
