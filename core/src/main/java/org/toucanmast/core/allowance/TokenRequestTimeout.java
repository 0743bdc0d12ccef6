package org.toucanmast.core.allowance;

import org.toucanmast.core.gateway.ServiceTimeEstimate;

/**
 * How long operations wait for the answer of an allowance holder.
 *
 * <p>Load pattern: all VMs start again at the same moment, and for some seconds the slow ones among
 * them answer late. An operation that is refused then was within its allowance, and its caller
 * returns to the same slow VMs. The timeout therefore follows the time that the holder's answers
 * take, late ones included. A holder that does not answer at all leaves it unchanged, so that its
 * failure is noticed as soon as before.
 */
public final class TokenRequestTimeout {
  /** Many round trips between data centres; answers usually take a few milliseconds. */
  private static final long MINIMUM_IN_MILLISECONDS = 60;

  /** Nearly the time after which a silent holder is replaced. */
  private static final long MAXIMUM_IN_MILLISECONDS = 400;

  private static final double INITIAL_ESTIMATE_IN_MILLISECONDS = 15;

  private final ServiceTimeEstimate answerTimes =
      new ServiceTimeEstimate(INITIAL_ESTIMATE_IN_MILLISECONDS);

  /** Returns the longest time for which a granted token may be used, in milliseconds. */
  public static long maximumInMilliseconds() {
    return MAXIMUM_IN_MILLISECONDS;
  }

  /** Records how long the holder took to answer a token request, in milliseconds. */
  public void onAnswer(long elapsedInMilliseconds) {
    answerTimes.observe(elapsedInMilliseconds);
  }

  /** Returns how long an operation waits, in milliseconds. */
  public long inMilliseconds() {
    return Math.min(
        MAXIMUM_IN_MILLISECONDS,
        Math.max(MINIMUM_IN_MILLISECONDS, Math.round(answerTimes.upperEstimate())));
  }
}
