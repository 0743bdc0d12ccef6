package org.toucanmast.core.stop;

import java.util.Optional;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.statement.Access;
import org.toucanmast.core.statement.Statement;
import org.toucanmast.core.statement.TransactionState;

/**
 * What a request of the HTTP interface does, as far as the planned stop of its VM is concerned. The
 * rules are those of {@link StopPhase} for the statements of sessions.
 *
 * <p>Load pattern: each request stands alone, so new ones are refused as soon as the stop has been
 * announced; transactions last over many requests, and their steps would keep coming until the
 * process ends.
 */
public enum RequestStep {
  /** Runs statements outside a transaction, or begins one. */
  OUTSIDE_TRANSACTION(Refusal.STOPPING) {
    @Override
    boolean isServedIn(StopPhase phase) {
      return !phase.closesIdleSessions();
    }
  },
  /** Runs statements in an open transaction. */
  STATEMENTS(Refusal.ROLLED_BACK) {
    @Override
    boolean isServedIn(StopPhase phase) {
      return phase.accepts(new Statement.Run(Access.WRITE, ""), TransactionState.OPEN);
    }
  },
  /** Commits an open transaction. */
  COMMIT(Refusal.ROLLED_BACK) {
    @Override
    boolean isServedIn(StopPhase phase) {
      return phase.accepts(new Statement.Commit(""), TransactionState.OPEN);
    }
  },
  /** Rolls an open transaction back. */
  ROLLBACK(Refusal.ROLLED_BACK) {
    @Override
    boolean isServedIn(StopPhase phase) {
      return phase.accepts(new Statement.Rollback(), TransactionState.OPEN);
    }
  };

  private final Refusal refusal;

  RequestStep(Refusal refusal) {
    this.refusal = refusal;
  }

  /**
   * Returns why the request is refused in a phase, or empty if it is served. A transaction whose
   * step is refused is rolled back, so that each refusal promises that nothing is kept.
   */
  public Optional<Refusal> refusalIn(StopPhase phase) {
    return isServedIn(phase) ? Optional.empty() : Optional.of(refusal);
  }

  abstract boolean isServedIn(StopPhase phase);
}
