package org.toucanmast.core.concurrency;

/**
 * Total time by which the timers of a VM fired late.
 *
 * <p>Load pattern: a VM that is short of processor time, or whose event loop is busy, reads replies
 * late. The part of this total that falls into an attempt is no service time of the endpoint.
 */
public final class TimerDelay {
  /** Lateness that is usual on a VM with a fraction of a core, in milliseconds. */
  private static final long TOLERANCE_IN_MILLISECONDS = 5;

  private long total;
  private long expectedAt = Long.MAX_VALUE;

  /** Records that the expected timer has fired, or has been cancelled. */
  public void onTimer(long now) {
    total = total(now);
    expectedAt = Long.MAX_VALUE;
  }

  /** Sets when the next timer should fire, on the steady clock in milliseconds. */
  public void expectTimer(long at) {
    expectedAt = at;
  }

  /**
   * Returns the total delay so far in milliseconds, including that of a timer that is overdue now.
   */
  public long total(long now) {
    return expectedAt == Long.MAX_VALUE
        ? total
        : total + Math.max(0, now - expectedAt - TOLERANCE_IN_MILLISECONDS);
  }
}
