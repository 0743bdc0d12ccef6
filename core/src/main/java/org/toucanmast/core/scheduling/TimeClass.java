package org.toucanmast.core.scheduling;

/** What a waiting statement can still meet, by the estimate; the first class is served first. */
public enum TimeClass {
  /** The statement can complete within the objective of its operation. */
  OBJECTIVE {
    @Override
    long limit(StatementTerms terms) {
      return Math.min(terms.objectiveAt(), terms.deadline());
    }
  },
  /** The statement can only complete before its deadline. */
  DEADLINE {
    @Override
    long limit(StatementTerms terms) {
      return terms.deadline();
    }
  };

  /** Returns the time by which a statement of this class completes, in milliseconds. */
  abstract long limit(StatementTerms terms);

  /** Returns whether a statement that starts now is expected to meet the limit of this class. */
  boolean canMeet(StatementTerms terms, double serviceMilliseconds, long now) {
    return now + serviceMilliseconds <= limit(terms);
  }
}
