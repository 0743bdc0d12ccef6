package org.toucanmast.core.concurrency;

/**
 * Finds out whether an endpoint that is slow runs fewer statements at once faster.
 *
 * <p>Load pattern: an endpoint that is slow. If it is slow with few statements as well, a lower
 * limit only takes throughput away. A trial lowers the limit for a moment and keeps it low only if
 * statements were faster by more than the loss of concurrency.
 */
final class ContentionTrial {
  /**
   * Factor by which half of the statements at once must be faster; with a factor of 2 the
   * throughput is the same, and the rest is a margin for chance.
   */
  private static final double CONTENTION = Math.log(2.6);

  /** Samples before a trial, and in it, that are compared. */
  private static final int MINIMUM_SAMPLES = 8;

  /** Time for which a trial lowers the limit; the statements sent in it count, in milliseconds. */
  private static final long SENDING_IN_MILLISECONDS = 250;

  /**
   * Time from the start of a trial to its judgement, in milliseconds. It is longer than the time in
   * which statements are sent, because the short ones answer first and would make any trial look
   * successful.
   */
  private static final long DURATION_IN_MILLISECONDS = 600;

  /** Time until the next trial after one without contention; doubles each time. */
  private static final long INITIAL_INTERVAL_IN_MILLISECONDS = 5_000;

  private static final long MAXIMUM_INTERVAL_IN_MILLISECONDS = 40_000;

  /** Time for which a lower limit is kept before more statements are tried, in milliseconds. */
  private static final long KEPT_IN_MILLISECONDS = 1_000;

  private static final double GAIN = 1.0 / 8;

  /** Weight of a sample with few statements at once outside a trial; there are few of them. */
  private static final double FEW_GAIN = 1.0 / 4;

  /** Age up to which such samples speak against a trial, in milliseconds. */
  private static final long FEW_LIFETIME_IN_MILLISECONDS = 2_000;

  private enum State {
    NORMAL,
    TRYING,
    LIMITED
  }

  private State state = State.NORMAL;
  private long changedAt;
  private long noTrialBefore;
  private long interval;
  private double slownessOfMany;
  private int samplesOfMany;
  private double slownessOfFew;
  private long fewSentAt;
  private double sumOfFew;
  private int samplesOfFew;

  ContentionTrial() {
    reset();
  }

  /** Discards what is known. */
  void reset() {
    enter(State.NORMAL, 0);
    noTrialBefore = Long.MIN_VALUE;
    fewSentAt = Long.MIN_VALUE / 2;
    slownessOfFew = 0;
    interval = INITIAL_INTERVAL_IN_MILLISECONDS;
  }

  /**
   * Adds a sample of the slowness.
   *
   * @param sample the logarithm of the factor to the usual service time
   * @param concurrency the statements in flight when it was sent
   */
  void observe(double sample, int concurrency, int slots, long sentAt) {
    if (concurrency >= slots) {
      samplesOfMany++;
      slownessOfMany += Math.max(GAIN, 1.0 / samplesOfMany) * (sample - slownessOfMany);
    } else if (concurrency <= lowered(slots)) {
      observeFew(sample, sentAt);
    }
  }

  private void observeFew(double sample, long sentAt) {
    slownessOfFew += FEW_GAIN * (sample - slownessOfFew);
    fewSentAt = Math.max(fewSentAt, sentAt);
    if (state == State.TRYING && isOfTrial(sentAt)) {
      sumOfFew += sample;
      samplesOfFew++;
    }
  }

  /** Returns whether few statements at once were slow recently, so that a trial would fail. */
  private boolean isSlowWithFew(long now) {
    return now - fewSentAt < FEW_LIFETIME_IN_MILLISECONDS
        && slownessOfFew > Math.log(ConcurrencyRule.TOLERATED_SLOWDOWN);
  }

  private boolean isOfTrial(long sentAt) {
    return sentAt >= changedAt && sentAt < changedAt + SENDING_IN_MILLISECONDS;
  }

  /** Returns the limit with which an endpoint is tried: half of its slots. */
  static int lowered(int slots) {
    return (slots + 1) / 2;
  }

  /** Returns whether the limit is lowered to find out what that changes. */
  boolean isLowering(long now) {
    return state == State.TRYING && now - changedAt < SENDING_IN_MILLISECONDS;
  }

  /** Returns the slow-down that limits the concurrency: 1 unless fewer statements run faster. */
  double limitingSlowdown(double slowdown, long now) {
    boolean slow = slowdown > ConcurrencyRule.TOLERATED_SLOWDOWN;
    switch (state) {
      case NORMAL -> {
        if (!slow) {
          samplesOfMany = 0;
        } else if (samplesOfMany >= MINIMUM_SAMPLES
            && now >= noTrialBefore
            && !isSlowWithFew(now)) {
          enter(State.TRYING, now);
        }
      }
      case TRYING -> {
        if (now - changedAt >= DURATION_IN_MILLISECONDS) {
          endTrial(now);
        }
      }
      case LIMITED -> {
        if (now - changedAt >= KEPT_IN_MILLISECONDS) {
          enter(State.NORMAL, now);
        }
      }
      default -> throw new IllegalStateException("unknown state " + state);
    }
    return state == State.LIMITED ? Math.max(slowdown, 2 * ConcurrencyRule.TOLERATED_SLOWDOWN) : 1;
  }

  private void endTrial(long now) {
    if (samplesOfFew >= MINIMUM_SAMPLES && slownessOfMany - sumOfFew / samplesOfFew > CONTENTION) {
      interval = INITIAL_INTERVAL_IN_MILLISECONDS;
      enter(State.LIMITED, now);
    } else {
      noTrialBefore = now + interval;
      interval = Math.min(MAXIMUM_INTERVAL_IN_MILLISECONDS, interval * 2);
      enter(State.NORMAL, now);
    }
  }

  private void enter(State next, long now) {
    state = next;
    changedAt = now;
    samplesOfMany = 0;
    sumOfFew = 0;
    samplesOfFew = 0;
  }
}
