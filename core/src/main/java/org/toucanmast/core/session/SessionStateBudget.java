package org.toucanmast.core.session;

/**
 * Limits what all sessions of a VM keep for their callers, in characters.
 *
 * <p>Answers the load of callers that set and prepare ever more in ever more sessions: without a
 * limit, one of them fills the heap, and the VM stops answering all others.
 */
public final class SessionStateBudget {
  /**
   * A session that keeps at most this much is not refused, so that large sessions do not take the
   * place of the usual ones, which have a few short entries.
   */
  static final long GUARANTEED_LENGTH = 2 * 1024;

  private final long maximumLength;
  private long length;

  /**
   * Creates a budget.
   *
   * @param maximumLength what all sessions together may keep, in characters
   */
  public SessionStateBudget(long maximumLength) {
    this.maximumLength = maximumLength;
  }

  /** Returns what all sessions keep, in characters. */
  public long length() {
    return length;
  }

  /**
   * Changes what one session keeps if the budget allows it; a session may always keep less.
   *
   * @param before what the session keeps, in characters
   * @param after what the session would keep, in characters
   * @return whether it was changed
   */
  boolean change(long before, long after) {
    long changed = length + after - before;
    if (after > before && after > GUARANTEED_LENGTH && changed > maximumLength) {
      return false;
    }
    length = changed;
    return true;
  }
}
