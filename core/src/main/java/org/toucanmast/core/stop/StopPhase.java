package org.toucanmast.core.stop;

import java.util.Optional;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.Statement;
import org.toucanmast.core.statement.TransactionState;

/**
 * The phases of the planned stop of a VM, in order.
 *
 * <p>Load pattern: sessions keep sending until their connection ends, and some are inside a
 * transaction all the time. Work that cannot end in time is refused while its caller can still be
 * told that nothing is kept. What was sent before the stop and outlasts it is answered at its end.
 */
public enum StopPhase {
  /** The VM does not stop. */
  SERVING(false) {
    @Override
    boolean accepts(Statement statement, TransactionState state) {
      return true;
    }
  },
  /** The load balancer may still send new sessions, which are served like all others. */
  ANNOUNCED(false) {
    @Override
    boolean accepts(Statement statement, TransactionState state) {
      return true;
    }
  },
  /** Sessions end as soon as they are outside a transaction; open transactions go on. */
  CLOSING(true) {
    @Override
    boolean accepts(Statement statement, TransactionState state) {
      return true;
    }
  },
  /** Transactions that are still open can only be ended, and nothing new begins. */
  ENDING(true) {
    @Override
    boolean accepts(Statement statement, TransactionState state) {
      return state == TransactionState.OPEN && (isEnd(statement) || isAboutSession(statement));
    }
  },
  /** No statement is sent to a gateway any more; those that were sent may still be answered. */
  REFUSING(true) {
    @Override
    boolean accepts(Statement statement, TransactionState state) {
      return state == TransactionState.OPEN && statement instanceof Statement.Rollback;
    }
  },
  /** Every statement without an answer is answered now, and the sessions end. */
  ANSWERING(true) {
    @Override
    boolean accepts(Statement statement, TransactionState state) {
      return false;
    }
  };

  /** The reason of refusals and results that callers get because their VM stops. */
  public static final String REASON = "the VM is stopping";

  private final boolean closesIdleSessions;

  StopPhase(boolean closesIdleSessions) {
    this.closesIdleSessions = closesIdleSessions;
  }

  /**
   * Returns whether sessions outside a transaction are closed when they have no statement, and new
   * ones are refused.
   */
  public boolean closesIdleSessions() {
    return closesIdleSessions;
  }

  /**
   * Returns the code with which a statement is refused, or empty if it is not refused because of
   * the stop. Both codes promise the caller that nothing is kept. What a session sends in a
   * transaction that has failed is never refused here, since no gateway is needed to answer it.
   *
   * @param state the state of the session's transaction; an open one is rolled back if the
   *     statement is refused
   */
  public Optional<ResultCode> refusalOf(Statement statement, TransactionState state) {
    if (state == TransactionState.FAILED || accepts(statement, state)) {
      return Optional.empty();
    }
    return Optional.of(state == TransactionState.OPEN ? ResultCode.ABORTED : ResultCode.BUSY);
  }

  /** Returns whether work that was accepted may still be sent to an endpoint. */
  public boolean sendsAcceptedWork() {
    return compareTo(REFUSING) < 0;
  }

  abstract boolean accepts(Statement statement, TransactionState state);

  private static boolean isEnd(Statement statement) {
    return statement instanceof Statement.Commit || statement instanceof Statement.Rollback;
  }

  private static boolean isAboutSession(Statement statement) {
    return statement instanceof Statement.SetValue
        || statement instanceof Statement.Prepare
        || statement instanceof Statement.Deallocate;
  }
}
