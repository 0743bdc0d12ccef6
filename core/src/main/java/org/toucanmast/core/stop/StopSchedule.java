package org.toucanmast.core.stop;

/**
 * When the phases of a planned stop begin. All times are on the steady clock, in milliseconds.
 *
 * @param beganAt when the grace period began
 * @param graceInMilliseconds the time from then on after which the process has ended
 * @param announcementInMilliseconds the time from then on in which new work is still accepted
 */
public record StopSchedule(
    long beganAt, long graceInMilliseconds, long announcementInMilliseconds) {
  /** New sessions arrive until the load balancer has seen two refused probes. */
  private static final long BALANCER_REACTION_TIME_IN_MILLISECONDS = 2_300;

  /** Fraction of the grace period after which idle sessions are closed at the latest. */
  private static final double CLOSING_FRACTION = 0.4;

  /** Fraction of the grace period in which open transactions may go on. */
  private static final double ENDING_FRACTION = 0.5;

  /** Fraction after which nothing is sent to a gateway, so that a commit sent before may answer. */
  private static final double REFUSING_FRACTION = 0.75;

  /** Fraction after which everything is answered, so that the answers leave before the exit. */
  private static final double ANSWERING_FRACTION = 0.85;

  /**
   * Fraction of the grace period after which the process ends whatever has not been sent. The
   * virtual machine of Java takes up to 0.3 s to halt.
   */
  private static final double EXIT_FRACTION = 0.9;

  /** Time for a gateway's answer at the deadline of a statement to reach its caller. */
  private static final long ANSWER_TIME_IN_MILLISECONDS = 100;

  /** Creates a schedule. */
  public StopSchedule {
    if (graceInMilliseconds < 0) {
      throw new IllegalArgumentException(
          "expected a grace period of 0 ms or more but was " + graceInMilliseconds + " ms");
    }
    if (announcementInMilliseconds < 0) {
      throw new IllegalArgumentException(
          "expected an announcement of 0 ms or more but was " + announcementInMilliseconds + " ms");
    }
  }

  /** Creates the schedule of a VM whose grace period begins when it is asked to stop. */
  public StopSchedule(long beganAt, long graceInMilliseconds) {
    this(
        beganAt,
        graceInMilliseconds,
        Math.min(
            BALANCER_REACTION_TIME_IN_MILLISECONDS,
            (long) (graceInMilliseconds * CLOSING_FRACTION)));
  }

  /**
   * Returns the schedule of a VM that announces its stop for a configured time first.
   *
   * @param askedAt when the VM was asked to stop
   * @param announceDelayInMilliseconds the time in which it accepts all work, as before
   * @param deadlineInMilliseconds the time after the announcement in which the process ends
   */
  public static StopSchedule afterAnnouncement(
      long askedAt, long announceDelayInMilliseconds, long deadlineInMilliseconds) {
    return new StopSchedule(askedAt + announceDelayInMilliseconds, deadlineInMilliseconds, 0);
  }

  /** Returns the phase at a time. */
  public StopPhase phaseAt(long now) {
    if (now >= answeringAt()) {
      return StopPhase.ANSWERING;
    }
    if (now >= after(REFUSING_FRACTION)) {
      return StopPhase.REFUSING;
    }
    if (now >= after(ENDING_FRACTION)) {
      return StopPhase.ENDING;
    }
    return now >= closingAt() ? StopPhase.CLOSING : StopPhase.ANNOUNCED;
  }

  private long closingAt() {
    return beganAt + announcementInMilliseconds;
  }

  private long answeringAt() {
    return after(ANSWERING_FRACTION);
  }

  private long after(double fraction) {
    return beganAt + (long) (graceInMilliseconds * fraction);
  }

  /**
   * Returns how much time a statement that is sent to a gateway now has, so that the gateway's
   * answer arrives before every statement is answered; not negative.
   */
  public long timeForStatement(long now) {
    return Math.max(0, answeringAt() - now - ANSWER_TIME_IN_MILLISECONDS);
  }

  /** Returns when the process ends at the latest. */
  public long exitAt() {
    return after(EXIT_FRACTION);
  }
}
