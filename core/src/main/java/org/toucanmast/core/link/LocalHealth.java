package org.toucanmast.core.link;

/**
 * Measures how late the timers of this VM's event loop fire, and how much longer this VM must
 * therefore wait before it considers a peer failed.
 *
 * <p>Load pattern: after a loss of power all VMs start at once and are short of processor time. A
 * VM that reads answers late takes its own delay for the silence of its peers, closes links, moves
 * gateways and thereby adds work. The factor is the local health multiplier of Lifeguard, Dadgar et
 * al., 2018, driven by the lateness of timers instead of by missed acknowledgements.
 *
 * <p>An instance that is told of no timers always has the factor 1 and lets this VM judge its
 * peers.
 */
public final class LocalHealth {
  /** Timers that are no later than this are on time: the probe delay of {@link LinkLiveness}. */
  public static final long TOLERATED_LATENESS_IN_MILLISECONDS = 100;

  /** The largest factor; it keeps the detection of real failures bounded. */
  public static final double MAXIMUM_FACTOR = 8;

  /** The factor halves in this time, so that it falls from its maximum to 1 in three seconds. */
  private static final double HALF_LIFE_IN_MILLISECONDS = 1_000;

  /** A timer that is later than this leaves callers without an answer for most of a deadline. */
  private static final long OVERLOAD_LATENESS_IN_MILLISECONDS = 1_000;

  /** Readiness is withdrawn when timers have been that late for this long. */
  private static final long OVERLOAD_DURATION_IN_MILLISECONDS = 3_000;

  private static final long NEVER = Long.MAX_VALUE;

  private long dueAt = NEVER;
  private long overloadedSince = NEVER;
  private double peakFactor = 1;
  private long peakAt;
  private boolean bytesUnread;

  /**
   * Records that the timer is to fire at an interval from now on.
   *
   * @param intervalInMilliseconds the interval of the timer
   * @param now the current time, in milliseconds
   */
  public void onTimerStarted(long intervalInMilliseconds, long now) {
    dueAt = now + intervalInMilliseconds;
  }

  /**
   * Records that the timer fired.
   *
   * @param intervalInMilliseconds the time until the timer is due again
   * @param now the current time, in milliseconds
   */
  public TimerFiring onTimer(long intervalInMilliseconds, long now) {
    if (now < dueAt - intervalInMilliseconds / 2) {
      return TimerFiring.EARLY;
    }
    long lateness = lateness(now);
    if (lateness <= OVERLOAD_LATENESS_IN_MILLISECONDS) {
      overloadedSince = NEVER;
    } else if (overloadedSince == NEVER) {
      overloadedSince = dueAt + OVERLOAD_LATENESS_IN_MILLISECONDS;
    }
    peakFactor = factor(now);
    peakAt = now;
    bytesUnread |= lateness > TOLERATED_LATENESS_IN_MILLISECONDS;
    dueAt = now + intervalInMilliseconds;
    return bytesUnread ? TimerFiring.LATE : TimerFiring.ON_TIME;
  }

  /** How a timer fired. */
  public enum TimerFiring {
    /** A periodic timer made up for a late firing; it shows nothing and needs no work. */
    EARLY,
    /** The timer fired on time, so that this VM may judge its peers. */
    ON_TIME,
    /** This VM may judge its peers only after it has read the bytes that arrived meanwhile. */
    LATE
  }

  /** Returns whether timers are measured. */
  boolean isMeasured() {
    return dueAt != NEVER;
  }

  /** Records that the bytes that arrived before the last late firing have been read. */
  public void onBytesRead() {
    bytesUnread = false;
  }

  /**
   * Returns by which factor this VM must extend its timeouts before it considers peers failed, from
   * 1 to 8.
   *
   * @param now the current time, in milliseconds
   */
  public double factor(long now) {
    double decayed = peakFactor * Math.pow(2, -(now - peakAt) / HALF_LIFE_IN_MILLISECONDS);
    double present = (double) lateness(now) / TOLERATED_LATENESS_IN_MILLISECONDS;
    return Math.min(MAXIMUM_FACTOR, Math.max(1, Math.max(decayed, present)));
  }

  /**
   * Returns a timeout extended by the factor.
   *
   * @param timeoutInMilliseconds the timeout of a VM whose timers fire on time
   * @param now the current time, in milliseconds
   */
  public long extended(long timeoutInMilliseconds, long now) {
    return Math.round(timeoutInMilliseconds * factor(now));
  }

  /**
   * Returns how much of a time in which this VM was suspended must be discounted from the silence
   * of its peers. Where timers are measured, the factor accounts for the delays up to its maximum,
   * and discounting those as well would hide a failure for as long as this VM is starved.
   *
   * @param pauseInMilliseconds for how long this VM was suspended
   */
  public long discountedPause(long pauseInMilliseconds) {
    long coveredByFactor = Math.round(MAXIMUM_FACTOR * TOLERATED_LATENESS_IN_MILLISECONDS);
    return isMeasured() ? Math.max(0, pauseInMilliseconds - coveredByFactor) : pauseInMilliseconds;
  }

  /**
   * Returns whether this VM may consider a peer failed now; false while its timer is overdue or
   * bytes that arrived meanwhile may be unread.
   *
   * @param now the current time, in milliseconds
   */
  public boolean mayJudge(long now) {
    return !bytesUnread && lateness(now) <= TOLERATED_LATENESS_IN_MILLISECONDS;
  }

  /**
   * Returns whether the timers have been so late for so long that new sessions should go elsewhere.
   *
   * @param now the current time, in milliseconds
   */
  public boolean isOverloaded(long now) {
    long since = overloadedSince;
    if (since == NEVER && lateness(now) > OVERLOAD_LATENESS_IN_MILLISECONDS) {
      since = dueAt + OVERLOAD_LATENESS_IN_MILLISECONDS;
    }
    return since != NEVER && now - since >= OVERLOAD_DURATION_IN_MILLISECONDS;
  }

  private long lateness(long now) {
    return dueAt == NEVER ? 0 : Math.max(0, now - dueAt);
  }
}
