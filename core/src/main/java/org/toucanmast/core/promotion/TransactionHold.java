package org.toucanmast.core.promotion;

/**
 * Holds back new transactions of a group at one VM before a planned move of the primary.
 *
 * <p>The hold expires by itself, because the VM that requested it may have stopped.
 */
public final class TransactionHold {
  private final long lifetimeNanoseconds;
  private long term;
  private long expiresAt;
  private boolean requested;
  private int open;

  /**
   * Creates an inactive hold.
   *
   * @param lifetimeNanoseconds how long a hold lasts after the latest request for it, in
   *     nanoseconds
   */
  public TransactionHold(long lifetimeNanoseconds) {
    this.lifetimeNanoseconds = lifetimeNanoseconds;
  }

  /**
   * Records that the primary of a term is about to be moved.
   *
   * @param now the current time, in nanoseconds
   */
  public void onMovePlanned(long plannedTerm, long now) {
    requested = true;
    term = plannedTerm;
    expiresAt = now + lifetimeNanoseconds;
  }

  /**
   * Returns whether new transactions are held back.
   *
   * @param currentTerm the newest known term; a hold for an earlier term is no longer in effect,
   *     because its primary has been replaced
   * @param now the current time, in nanoseconds
   */
  public boolean isHeld(long currentTerm, long now) {
    return requested && term >= currentTerm && now - expiresAt < 0;
  }

  /** Returns the term whose primary is about to be moved. */
  public long term() {
    return term;
  }

  /** Counts a transaction as open. */
  public void onBegun() {
    open++;
  }

  /** Counts a transaction as ended: its outcome is known, or it could not be begun. */
  public void onEnded() {
    open--;
  }

  /** Returns the number of open transactions. */
  public int open() {
    return open;
  }
}
