package org.toucanmast.core.concurrency;

/**
 * Concurrency limit and slowness of one endpoint, as one gateway learns them from its replies.
 *
 * <p>Load pattern: an endpoint with few slots that slows down, hangs, or fails part of its
 * statements while its health check is good. Reads leave it first, by {@link #placementFactor}; the
 * limit shrinks only on a slow-down that chance does not explain and that the other endpoints do
 * not share. The limit of a primary shrinks only if fewer statements at once run faster there,
 * because its writes cannot go elsewhere.
 */
public final class EndpointLimit {
  /** Statements in flight beyond the slots, so that no slot is idle while a reply is on its way. */
  private static final int ADDITIONAL_STATEMENTS_IN_FLIGHT = 1;

  /** Weight of a sample in the averages; it averages 15 samples, about 0.3 s of a slow endpoint. */
  private static final double GAIN = 1.0 / 8;

  /** Weights of a sample in the usual slowness, which follows improvements sooner. */
  private static final double USUAL_FALL_GAIN = 1.0 / 16;

  private static final double USUAL_RISE_GAIN = 1.0 / 128;

  /** Slow-down from which the usual slowness rises no further, so that it is not forgotten. */
  private static final double USUAL_DEVIATION = Math.log(1.5);

  /** Time between two changes of the limit; several of them fit into the second to react in. */
  private static final long INTERVAL_IN_MILLISECONDS = 100;

  /** Results that an interval has at least before the limit changes. */
  private static final int MINIMUM_RESULTS = 4;

  /** Samples before which nothing is known about an endpoint; the limit is the maximum. */
  private static final int MINIMUM_SAMPLES = 8;

  /** Age from which an observation is not compared with newer ones, in milliseconds. */
  private static final long OBSERVATION_LIFETIME_IN_MILLISECONDS = 2_000;

  /** Multiple of the usual time after which a reply is overdue; 0.6% of replies are, by chance. */
  private static final double OVERDUE_FACTOR = 6;

  private static final double MINIMUM_OVERDUE_IN_MILLISECONDS = 100;

  /** Overdue replies that together are no chance. */
  private static final int HANGING_REPLIES = 2;

  /** Time without any result in which overdue replies mean that the endpoint hangs. */
  private static final long SILENCE_IN_MILLISECONDS = 250;

  /** Error rate above that of the other endpoints that takes statements away; three in a row. */
  private static final double FAILING_RATE = 0.25;

  /** Time from one failed or slow probe to the next, in milliseconds. */
  private static final long PROBE_INTERVAL_IN_MILLISECONDS = 500;

  /** Largest factor in the cost of a read. */
  private static final double MAXIMUM_FACTOR = 16;

  private final EndpointLimits group;
  private final ConcurrencyRule rule;
  private int slots;
  private boolean primary;
  private double limit;
  private double slowness;
  private double usual;
  private int samples;
  private double errorRate;
  private int overdue;
  private boolean lastResultGood = true;
  private long lastResultAt = Long.MIN_VALUE / 2;
  private long changedAt = Long.MIN_VALUE / 2;
  private int results;
  private boolean hanging;
  private final ContentionTrial trial = new ContentionTrial();

  EndpointLimit(EndpointLimits group, ConcurrencyRule rule, int slots) {
    this.group = group;
    this.rule = rule;
    this.slots = slots;
    this.limit = maximum();
  }

  private double maximum() {
    return slots + ADDITIONAL_STATEMENTS_IN_FLIGHT;
  }

  /** Discards what is known, after the endpoint has restarted. */
  public void reset(int newSlots) {
    slots = newSlots;
    limit = maximum();
    samples = 0;
    slowness = 0;
    usual = 0;
    errorRate = 0;
    overdue = 0;
    results = 0;
    lastResultGood = true;
    hanging = false;
    trial.reset();
  }

  /** Applies another number of slots. */
  public void resize(int newSlots) {
    if (newSlots != slots) {
      slots = newSlots;
      limit = maximum();
    }
  }

  /** Sets whether the endpoint is the primary of its group; a new primary has the full limit. */
  public void setPrimary(boolean newPrimary) {
    if (newPrimary && !primary) {
      limit = maximum();
    }
    primary = newPrimary;
  }

  /**
   * Adds the service time of a successful statement.
   *
   * @param kind the kind of the statement, see {@link StatementForm#kind}
   * @param milliseconds the time until the reply, without what this VM spent on its own
   * @param concurrency the statements in flight when it was sent, itself included
   */
  public void onServed(int kind, double milliseconds, int concurrency, long now) {
    double logarithm = Math.log(Math.max(1, milliseconds));
    boolean comparable = group.isKnown(kind);
    double before = slowness();
    group.observeWork(kind, logarithm, before);
    double sample = logarithm - group.work(kind);
    if (comparable) {
      observe(sample);
      trial.observe(sample - usual, concurrency, slots, now - (long) milliseconds);
    }
    onResult(true, sample - usual < Math.log(ConcurrencyRule.TOLERATED_SLOWDOWN), now);
  }

  private void observe(double sample) {
    samples++;
    slowness += Math.max(GAIN, 1.0 / samples) * (sample - slowness);
    if (samples <= MINIMUM_SAMPLES) {
      usual = slowness;
    } else {
      followUsual();
    }
  }

  private void followUsual() {
    double difference = slowness - usual;
    if (difference < 0) {
      usual += USUAL_FALL_GAIN * difference;
    } else if (difference < USUAL_DEVIATION) {
      usual += USUAL_RISE_GAIN * difference;
    }
  }

  /** Records a statement that failed at the endpoint, or whose connection was lost. */
  public void onFailed(long now) {
    onResult(false, false, now);
  }

  private void onResult(boolean success, boolean good, long now) {
    errorRate += GAIN * ((success ? 0 : 1) - errorRate);
    lastResultGood = good;
    lastResultAt = now;
    hanging = false;
    results++;
    if (results >= MINIMUM_RESULTS && now - changedAt >= INTERVAL_IN_MILLISECONDS) {
      change(now);
    }
  }

  /** Records that an attempt's reply has become overdue. */
  public void onOverdue(int kind, double ageInMilliseconds, long now) {
    overdue++;
    double sample = Math.log(ageInMilliseconds) - group.work(kind);
    if (sample > slowness) {
      observe(sample);
    }
    results++;
    checkSilence(now);
    if (now - changedAt >= INTERVAL_IN_MILLISECONDS) {
      change(now);
    }
  }

  /** Checks whether the endpoint hangs; must be called periodically while replies are overdue. */
  public void checkSilence(long now) {
    boolean silent = overdue >= HANGING_REPLIES && now - lastResultAt > SILENCE_IN_MILLISECONDS;
    if (silent && !hanging) {
      hanging = true;
      limit = lowest();
    }
  }

  /** Records that an attempt whose reply was overdue has ended. */
  public void onOverdueEnded() {
    overdue = Math.max(0, overdue - 1);
  }

  private void change(long now) {
    changedAt = now;
    results = 0;
    double next = rule.next(limit, maximum(), limitingSlowdown(now));
    if (rule != ConcurrencyRule.FIXED && trial.isLowering(now)) {
      next = lowest();
    }
    limit = Math.min(maximum(), Math.max(lowest(), next));
  }

  private double limitingSlowdown(long now) {
    if (isUnreliable()) {
      return MAXIMUM_FACTOR;
    }
    if (samples < MINIMUM_SAMPLES) {
      return 1;
    }
    double slowdown = Math.exp(ownSlowdown() - group.commonSlowdown(this, now));
    return trial.limitingSlowdown(slowdown, now);
  }

  /** A replica that hangs or fails gets single statements; a primary is the only one for writes. */
  private boolean isUnreliable() {
    return !primary && (hanging || isFailing());
  }

  private double lowest() {
    return isUnreliable() ? 1 : ContentionTrial.lowered(slots);
  }

  private static boolean isRecent(long time, long now) {
    return now - time < OBSERVATION_LIFETIME_IN_MILLISECONDS;
  }

  private double excessErrorRate() {
    return Math.max(0, errorRate - group.lowestErrorRate(this));
  }

  private boolean isFailing() {
    return excessErrorRate() > FAILING_RATE;
  }

  /** Returns how many statements may be in flight, at least 1. */
  public int limit() {
    return (int) limit;
  }

  /**
   * Returns the time after which a reply is overdue, in milliseconds; infinite while nothing is
   * known.
   */
  public double overdueAfter(int kind) {
    if (samples < MINIMUM_SAMPLES || !group.isKnown(kind)) {
      return Double.POSITIVE_INFINITY;
    }
    return Math.max(
        MINIMUM_OVERDUE_IN_MILLISECONDS, OVERDUE_FACTOR * Math.exp(group.work(kind) + usual));
  }

  /**
   * Returns the factor by which a read is expected to take longer here than at the fastest endpoint
   * of the group, with the attempts that fail; 1 at the fastest one.
   */
  public double placementFactor() {
    double factor = !hasSamples() ? 1 : Math.exp(slowness - group.lowestSlowness());
    double success = 1 - excessErrorRate();
    factor /= Math.max(0.25, success * success);
    if (hanging) {
      factor *= OVERDUE_FACTOR;
    }
    return Math.min(MAXIMUM_FACTOR, factor);
  }

  /**
   * Returns whether one read should be sent here to find out whether the endpoint has recovered,
   * provided that no statement is in flight.
   */
  public boolean isProbeDue(long now) {
    boolean degraded =
        isFailing()
            || samples >= MINIMUM_SAMPLES
                && ownSlowdown() > Math.log(ConcurrencyRule.TOLERATED_SLOWDOWN);
    return degraded
        && (lastResultGood && !hanging || now - lastResultAt >= PROBE_INTERVAL_IN_MILLISECONDS);
  }

  /** Returns the logarithm of the ratio of the present to the usual slowness. */
  double ownSlowdown() {
    return slowness - usual;
  }

  boolean hasSamples() {
    return samples >= MINIMUM_SAMPLES;
  }

  boolean isObserved(long now) {
    return hasSamples() && isRecent(lastResultAt, now);
  }

  /** Returns the logarithm of the factor by which statements take longer here; 0 if unknown. */
  double slowness() {
    return slowness;
  }

  double errorRate() {
    return errorRate;
  }
}
