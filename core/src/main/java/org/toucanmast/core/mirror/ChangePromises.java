package org.toucanmast.core.mirror;

/**
 * How soon a change that the store has acknowledged must have taken effect at every VM, and how
 * soon after a disturbance this holds again. All times are in milliseconds.
 *
 * @param configurationInMilliseconds for a configuration
 * @param takenOutInMilliseconds for a data centre that is taken out
 * @param drainingInMilliseconds for an endpoint that is draining or gone
 * @param recoveryInMilliseconds after the end of a disturbance of the store or of a VM's
 *     connections
 */
public record ChangePromises(
    long configurationInMilliseconds,
    long takenOutInMilliseconds,
    long drainingInMilliseconds,
    long recoveryInMilliseconds) {

  /** The promises where the platform states none. */
  public static final ChangePromises DEFAULT = new ChangePromises(3_000, 5_000, 7_000, 4_000);

  /** The part of the shorter promise for which a leaving primary still gets statements. */
  private static final double GRACE_PERIOD_FRACTION = 0.8;

  /**
   * Checks the times.
   *
   * @throws IllegalArgumentException if a time is not positive
   */
  public ChangePromises {
    requirePositive("configuration", configurationInMilliseconds);
    requirePositive("taken out", takenOutInMilliseconds);
    requirePositive("draining", drainingInMilliseconds);
    requirePositive("recovery", recoveryInMilliseconds);
  }

  private static void requirePositive(String promise, long milliseconds) {
    if (milliseconds <= 0) {
      throw new IllegalArgumentException(
          "promise '" + promise + "': expected a positive time but was " + milliseconds + " ms");
    }
  }

  /**
   * Returns how long a primary that is draining, or whose data centre is taken out, may still get
   * statements after that was acknowledged, until another endpoint is the primary.
   */
  public long leavingPrimaryGraceInMilliseconds() {
    long shorterPromise = Math.min(takenOutInMilliseconds, drainingInMilliseconds);
    return Math.round(shorterPromise * GRACE_PERIOD_FRACTION);
  }

  /** Returns how the configuration is propagated. */
  public PropagationTiming configurationTiming() {
    return timing(configurationInMilliseconds);
  }

  /** Returns how the data centres that are taken out are propagated. */
  public PropagationTiming takenOutTiming() {
    return timing(takenOutInMilliseconds);
  }

  /** Returns how the entries of endpoints are propagated. */
  public PropagationTiming drainingTiming() {
    return timing(drainingInMilliseconds);
  }

  /**
   * A change during a disturbance that lasts longer than its promise must have taken effect at the
   * end of the recovery.
   */
  private PropagationTiming timing(long promiseInMilliseconds) {
    return PropagationTiming.within(Math.min(promiseInMilliseconds, recoveryInMilliseconds));
  }
}
