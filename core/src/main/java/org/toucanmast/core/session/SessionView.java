package org.toucanmast.core.session;

import org.toucanmast.core.group.LogSummary;
import org.toucanmast.core.group.Position;

/**
 * The state of one database that a session has observed.
 *
 * @param position the newest log position that the session wrote or read
 * @param uncertainTerm the newest term in which the session sent a write whose outcome is unknown;
 *     0 when there is none
 */
public record SessionView(Position position, long uncertainTerm) {
  /** The view of a session that has neither read nor written the database. */
  public static final SessionView EMPTY = new SessionView(Position.NONE, 0);

  /** Returns a view that covers the given position as well. */
  public SessionView advance(Position observed) {
    return new SessionView(position.maximum(observed), uncertainTerm);
  }

  /** Returns a view that records a write of unknown outcome sent in the given term. */
  public SessionView uncertain(long term) {
    return new SessionView(position, Math.max(uncertainTerm, term));
  }

  /**
   * Returns the view after a confirmed primary of the given term has answered. Endpoints refuse
   * writes of earlier terms, so a write sent in an earlier term can no longer be applied, and the
   * view no longer records it as uncertain.
   */
  public SessionView afterConfirmedTerm(long confirmedTerm) {
    return confirmedTerm > uncertainTerm ? new SessionView(position, 0) : this;
  }

  /** Returns whether the outcome of a write is unknown; reads must then go to the primary. */
  public boolean isUncertain() {
    return uncertainTerm > 0;
  }

  /**
   * Returns whether a log with this summary covers the position of this view. Answers from a log
   * that does not cover it must not be returned to the session.
   */
  public LogSummary.Coverage coverageIn(LogSummary log) {
    return log.coverageOf(position);
  }
}
