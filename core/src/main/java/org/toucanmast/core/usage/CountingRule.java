package org.toucanmast.core.usage;

import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;

/** What counts as one request in a usage report. */
public enum CountingRule {
  /** Each statement that an endpoint began to run, commits included. */
  EACH_STATEMENT {
    @Override
    public boolean counts(StatementRequest request) {
      return true;
    }
  },
  /** Each operation: a transaction counts once, with its first statement. */
  EACH_OPERATION {
    @Override
    public boolean counts(StatementRequest request) {
      return !request.operation().inTransaction() || request.beginsTransaction();
    }
  };

  /** Returns whether a request that is sent to an endpoint counts. */
  public abstract boolean counts(StatementRequest request);

  /** Returns whether an endpoint that gave this reply had begun to run the statement. */
  public static boolean hasBegun(ResultCode reply) {
    return switch (reply) {
      case SUCCESS, ABORTED, FAILED, TIMEOUT, IN_DOUBT -> true;
      case BUSY,
          LAGGING,
          READ_ONLY,
          WRONG_ENDPOINT,
          CONNECTION_LIMIT,
          NO_STATEMENT,
          NO_CUSTOMER,
          NO_DATABASE,
          TOO_BIG,
          MALFORMED,
          NOT_NEARBY ->
          false;
    };
  }
}
