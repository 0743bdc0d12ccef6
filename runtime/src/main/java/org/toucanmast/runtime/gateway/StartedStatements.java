package org.toucanmast.runtime.gateway;

import org.toucanmast.core.statement.StatementRequest;

/** Counts the statements that endpoints begin to run. */
public interface StartedStatements {
  /** The window of a statement that is not counted. */
  long NOT_COUNTED = Long.MIN_VALUE;

  /** Counts nothing. */
  StartedStatements NONE =
      new StartedStatements() {
        @Override
        public long onStarted(StatementRequest request) {
          return NOT_COUNTED;
        }

        @Override
        public void onTurnedAway(StatementRequest request, long window) {
          // Nothing was counted.
        }
      };

  /**
   * Called when a statement is sent to an endpoint.
   *
   * @return the window that it is counted in, or {@link #NOT_COUNTED}
   */
  long onStarted(StatementRequest request);

  /** Called when an endpoint has turned away a statement that was counted in a window. */
  void onTurnedAway(StatementRequest request, long window);
}
