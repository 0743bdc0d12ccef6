package org.toucanmast.core.promotion;

/**
 * Holds back the beginning of transactions at one VM while a planned move of their group is ahead.
 *
 * <p>The hold lapses by itself: the VM that asked for it may have ended.
 */
public final class TransactionHold {
  private final long life;
  private long term;
  private long until;
  private boolean asked;
  private int open;

  /**
   * Creates a hold that nobody has asked for.
   *
   * @param life how long a hold lasts after it was last asked for, in nanoseconds
   */
  public TransactionHold(long life) {
    this.life = life;
  }

  /** Takes in that the primary of a term is about to be moved. */
  public void onPlanned(long plannedTerm, long now) {
    asked = true;
    term = plannedTerm;
    until = now + life;
  }

  /**
   * Tells whether no transaction should begin.
   *
   * @param currentTerm the newest known term; a hold of an earlier one has served its purpose
   * @param now the present time, in nanoseconds
   */
  public boolean isHeld(long currentTerm, long now) {
    return asked && term >= currentTerm && now - until < 0;
  }

  /** Returns the term that is held. */
  public long term() {
    return term;
  }

  /** Counts a transaction that begins. */
  public void onBegun() {
    open++;
  }

  /** Counts a transaction whose outcome is known, or that never began. */
  public void onEnded() {
    open--;
  }

  /** Returns how many transactions are open. */
  public int open() {
    return open;
  }
}
