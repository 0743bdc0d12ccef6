package org.toucanmast.core.link;

/**
 * Decides when a peer to which no link is open may be tried, and for how long an attempt may take.
 *
 * <p>Load pattern: many statements need a link to a VM that has just lost power. The first one
 * waits a moment for the connection; the others go elsewhere until the next attempt is due.
 */
public final class ConnectBackoff {
  /** Statements wait this long for a connection: many round trips. */
  public static final long CONNECT_WAIT_IN_MILLISECONDS = 200;

  private static final long INITIAL_DELAY_IN_MILLISECONDS = 250;
  private static final long MAXIMUM_DELAY_IN_MILLISECONDS = 1_000;

  private final LocalHealth localHealth;
  private long attemptStartedAt = Long.MIN_VALUE;
  private boolean attempting;
  private long blockedUntil = Long.MIN_VALUE;
  private boolean failed;
  private long delayInMilliseconds = INITIAL_DELAY_IN_MILLISECONDS;

  /**
   * Creates the state of a peer to which no attempt has been made.
   *
   * @param localHealth extends the timeouts while this VM is short of processor time
   */
  public ConnectBackoff(LocalHealth localHealth) {
    this.localHealth = localHealth;
  }

  /**
   * Records the start of an attempt, or of a repeated one after a time-out that showed nothing.
   *
   * @param now the current time, in milliseconds
   */
  public void onAttempt(long now) {
    attempting = true;
    if (attemptStartedAt == Long.MIN_VALUE) {
      attemptStartedAt = now;
    }
  }

  /** Records that a connection was opened. */
  public void onConnected() {
    failed = false;
    attempting = false;
    attemptStartedAt = Long.MIN_VALUE;
    blockedUntil = Long.MIN_VALUE;
    delayInMilliseconds = INITIAL_DELAY_IN_MILLISECONDS;
  }

  /**
   * Records that an attempt failed or that the connection was lost.
   *
   * @param now the current time, in milliseconds
   */
  public void onFailed(long now) {
    failed = true;
    attempting = false;
    attemptStartedAt = Long.MIN_VALUE;
    blockedUntil = now + delayInMilliseconds;
    delayInMilliseconds = Math.min(MAXIMUM_DELAY_IN_MILLISECONDS, 2 * delayInMilliseconds);
  }

  /**
   * Records that an attempt timed out. A VM that is short of processor time may have noticed the
   * connection too late; it tries again and considers the peer failed only after the extended
   * timeout, counted from the first of these attempts.
   *
   * @param timeoutInMilliseconds the timeout of an attempt
   * @param now the current time, in milliseconds
   * @return whether the peer counts as failed
   */
  public boolean onTimedOut(long timeoutInMilliseconds, long now) {
    boolean inconclusive =
        localHealth.factor(now) > 1
            && now - attemptStartedAt < localHealth.extended(timeoutInMilliseconds, now);
    if (inconclusive) {
      attempting = false;
    } else {
      onFailed(now);
    }
    return !inconclusive;
  }

  /**
   * Returns whether an attempt may start.
   *
   * @param now the current time, in milliseconds
   */
  public boolean mayAttempt(long now) {
    return !attempting && now >= blockedUntil;
  }

  /**
   * Returns whether the attempt that is under way has taken too long for statements to wait for it.
   *
   * @param now the current time, in milliseconds
   */
  public boolean isOverdue(long now) {
    return attemptStartedAt != Long.MIN_VALUE
        && now - attemptStartedAt > CONNECT_WAIT_IN_MILLISECONDS;
  }

  /**
   * Returns whether the peer should be passed over: the last attempt failed, or the first one is
   * overdue by the extended timeout. A failed peer is passed over until a connection is open, not
   * only until the next attempt, so that the choice of gateways does not alternate.
   *
   * @param now the current time, in milliseconds
   */
  public boolean isSuspected(long now) {
    return failed
        || attemptStartedAt != Long.MIN_VALUE
            && localHealth.mayJudge(now)
            && now - attemptStartedAt > localHealth.extended(CONNECT_WAIT_IN_MILLISECONDS, now);
  }
}
