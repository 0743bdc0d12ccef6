package org.toucanmast.core.gateway;

/**
 * Decides whether a statement may enter the queue, based on its expected time in the queue.
 *
 * <p>When more statements arrive than the endpoints can run, a statement that would probably miss
 * its deadline in the queue is refused on arrival. Its caller gets the refusal at once, and the
 * statements that were admitted keep their response times.
 */
public final class Admission {
  /**
   * Fraction of the remaining time that the expected wait and service time may take; the rest
   * absorbs variation.
   */
  private static final double USABLE_FRACTION = 0.5;

  private Admission() {}

  /**
   * Returns the expected time in the queue, in milliseconds, without the statements that other
   * customers may still add ahead of it.
   *
   * @param ahead the number of queued statements that are served earlier
   * @param slots the number of statements that can run concurrently
   * @param freeSlots the number of slots that are free now
   * @param serviceMilliseconds the mean service time of a statement
   * @return positive infinity when there are no slots
   */
  public static double expectedWait(
      int ahead, int slots, int freeSlots, double serviceMilliseconds) {
    if (slots <= 0) {
      return Double.POSITIVE_INFINITY;
    }
    int waiting = ahead - freeSlots + 1;
    return waiting <= 0 ? 0 : waiting * serviceMilliseconds / slots;
  }

  /**
   * Combines two estimates of the time in the queue, in milliseconds: zero when the queue predicts
   * no wait, otherwise the longer of the two.
   *
   * @param queueMilliseconds the estimate from the statements that are ahead now
   * @param backlogMilliseconds the estimate from the rate at which the customer's backlog is served
   */
  public static double expectedWait(double queueMilliseconds, double backlogMilliseconds) {
    return queueMilliseconds <= 0 ? 0 : Math.max(queueMilliseconds, backlogMilliseconds);
  }

  /**
   * Returns whether a statement should be admitted to the queue.
   *
   * @param waitMilliseconds the expected time in the queue
   * @param serviceMilliseconds the mean service time of a statement
   * @param remainingMilliseconds the time left until the statement's deadline
   */
  public static boolean admits(
      double waitMilliseconds, double serviceMilliseconds, long remainingMilliseconds) {
    return waitMilliseconds <= 0
        || waitMilliseconds + serviceMilliseconds <= remainingMilliseconds * USABLE_FRACTION;
  }
}
