package org.toucanmast.core.mirror;

/**
 * The timeouts with which changes of one kind of the store's objects reach every VM within a limit,
 * although a watch may lose its answer and watchers may fail. All times are in milliseconds.
 *
 * <p>Load pattern: the store, or the connection of a watch, is silent for less than a second and
 * answers new calls afterwards. A watch that was sent into the silence brings nothing more, and
 * only its own timeout shows it; a VM that follows peers sees only that their knowledge grows
 * older. Either wait must end early enough that the limit still covers another call and the way
 * from VM to VM.
 *
 * @param watchWaitInMilliseconds how long the store waits for a change before it answers a watch
 * @param watchTimeoutInMilliseconds after what time a watch without a complete answer has failed
 * @param maximumAgeInMilliseconds the age of its knowledge up to which a VM relies on peers
 * @param spreadInMilliseconds the time over which VMs distribute the end of that reliance; all of
 *     them end it by the maximum age plus this
 */
public record PropagationTiming(
    long watchWaitInMilliseconds,
    long watchTimeoutInMilliseconds,
    long maximumAgeInMilliseconds,
    long spreadInMilliseconds) {

  /** Time for a call to the store, and for the check that finds it due. */
  private static final long CALL_IN_MILLISECONDS = 300;

  /** Minimum time in which the age of a watcher's knowledge reaches every VM. */
  private static final long MINIMUM_DISSEMINATION_IN_MILLISECONDS = 400;

  /** Maximum time for a watch's answer after the wait: the round trip, and a slow store. */
  private static final long MAXIMUM_WATCH_MARGIN_IN_MILLISECONDS = 500;

  /** The part of the limit that the margin takes below its maximum. */
  private static final long MARGIN_PARTS = 6;

  /** Shorter waits would be polling. */
  private static final long MINIMUM_WATCH_WAIT_IN_MILLISECONDS = 250;

  /** The spread and the dissemination each take a tenth of the limit. */
  private static final long PARTS = 10;

  /**
   * Returns the timing by which changes reach every VM within a limit.
   *
   * @param limitInMilliseconds the limit; below one second it cannot be kept in all cases
   */
  public static PropagationTiming within(long limitInMilliseconds) {
    long spread = limitInMilliseconds / PARTS;
    long dissemination =
        Math.max(MINIMUM_DISSEMINATION_IN_MILLISECONDS, limitInMilliseconds / PARTS);
    long maximumAge = limitInMilliseconds - CALL_IN_MILLISECONDS - spread;
    long wait = Math.max(MINIMUM_WATCH_WAIT_IN_MILLISECONDS, maximumAge - dissemination);
    long margin =
        Math.min(MAXIMUM_WATCH_MARGIN_IN_MILLISECONDS, limitInMilliseconds / MARGIN_PARTS);
    return new PropagationTiming(wait, wait + margin, Math.max(maximumAge, wait + margin), spread);
  }
}
