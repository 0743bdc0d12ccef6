package org.toucanmast.core.gateway;

/**
 * Whether a statement is let in to wait, by the wait that it must expect.
 *
 * <p>Answers the load pattern of more statements than the endpoints can run: a statement that would
 * outlive its use in the queue is refused when it comes, so that its caller learns at once, and the
 * others keep their times.
 */
public final class Admission {
  /** Share of the time left that the expected wait may take; the rest is for variation. */
  private static final double USABLE_SHARE = 0.5;

  private Admission() {}

  /**
   * Returns the expected time in the queue, in milliseconds, but for what others will add.
   *
   * @param ahead the statements that are served before
   * @param slots the statements that run at once
   * @param free the slots that are free now
   * @param serviceMilliseconds the usual time of a statement
   */
  public static double expectedWait(int ahead, int slots, int free, double serviceMilliseconds) {
    if (slots <= 0) {
      return Double.POSITIVE_INFINITY;
    }
    int waiting = ahead - free + 1;
    return waiting <= 0 ? 0 : waiting * serviceMilliseconds / slots;
  }

  /**
   * Returns the expected time in the queue, in milliseconds.
   *
   * @param byQueue the wait by what is ahead now
   * @param byPace the wait by the pace at which the customer's backlog is served
   */
  public static double expectedWait(double byQueue, double byPace) {
    return byQueue <= 0 ? 0 : Math.max(byQueue, byPace);
  }

  /**
   * Returns whether a statement should wait.
   *
   * @param expectedWait the expected time in the queue, in milliseconds
   * @param serviceMilliseconds the usual time of a statement
   * @param remaining how long an answer is useful, in milliseconds
   */
  public static boolean admits(double expectedWait, double serviceMilliseconds, long remaining) {
    return expectedWait <= 0 || expectedWait + serviceMilliseconds <= remaining * USABLE_SHARE;
  }
}
