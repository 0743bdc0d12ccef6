package org.toucanmast.core.session;

import org.toucanmast.core.group.LogSummary;
import org.toucanmast.core.group.Position;

/**
 * What a session has seen of one database.
 *
 * @param position the newest position it wrote or read
 * @param uncertainTerm the term of a write whose outcome is unknown, or 0
 */
public record SessionView(Position position, long uncertainTerm) {
  /** The view of a session that has seen nothing. */
  public static final SessionView NOTHING = new SessionView(Position.NONE, 0);

  /** Returns a view that has also seen the given position. */
  public SessionView advance(Position seen) {
    return new SessionView(position.maximum(seen), uncertainTerm);
  }

  /** Returns a view that holds a write of unknown outcome sent in the given term. */
  public SessionView uncertain(long term) {
    return new SessionView(position, Math.max(uncertainTerm, term));
  }

  /**
   * Returns a view after a confirmed primary of the given term answered. A write sent in an earlier
   * term can no longer be applied, because endpoints refuse it; so its outcome is settled.
   */
  public SessionView settledBy(long confirmedTerm) {
    return confirmedTerm > uncertainTerm ? new SessionView(position, 0) : this;
  }

  /** Tells whether a write of unknown outcome keeps reads at the primary. */
  public boolean isUncertain() {
    return uncertainTerm > 0;
  }

  /** Tells whether an answer from a log with this summary may be shown to the session. */
  public LogSummary.Coverage judge(LogSummary log) {
    return log.coverageOf(position);
  }
}
