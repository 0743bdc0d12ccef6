package org.toucanmast.runtime.session;

import java.util.Optional;
import org.toucanmast.core.statement.StatementRequest;

/**
 * A statement that a session has received and not answered.
 *
 * @param requestId the id that the caller gave the statement
 * @param request what was sent to a gateway; empty while the customer's allowance is awaited
 * @param since when it was sent or began to wait, on the steady clock in milliseconds
 */
record RunningStatement(String requestId, Optional<StatementRequest> request, long since) {

  /** Returns a statement that was sent to a gateway. */
  static RunningStatement of(StatementRequest request, long now) {
    return new RunningStatement(request.requestId(), Optional.of(request), now);
  }

  /** Returns a statement that waits for its customer's allowance. */
  static RunningStatement awaitingAdmission(String requestId, long now) {
    return new RunningStatement(requestId, Optional.empty(), now);
  }
}
