package org.toucanmast.core.scheduling;

/**
 * The estimate of when a statement would run, by which it is admitted and ordered.
 *
 * @param ahead the number of waiting statements that are served earlier
 * @param waitMilliseconds the time until the statement starts; infinite if no endpoint can serve it
 * @param serviceMilliseconds the service time of the statement
 */
public record WaitEstimate(int ahead, double waitMilliseconds, double serviceMilliseconds) {
  /**
   * Least fraction of the capacity that the estimate assumes for a statement: the share of places
   * that starved priorities get.
   */
  private static final double MINIMUM_SHARE = 1.0 / ServiceShare.PLACES;

  /**
   * Estimates the wait behind statements that are drained while more urgent ones keep arriving.
   *
   * @param ahead the number of waiting statements that are served earlier
   * @param overtakingPerMillisecond the rate of later arrivals that are served earlier
   */
  static WaitEstimate of(Capacity capacity, int ahead, double overtakingPerMillisecond) {
    double service = capacity.serviceMilliseconds();
    if (capacity.slots() <= 0) {
      return new WaitEstimate(ahead, Double.POSITIVE_INFINITY, service);
    }
    int waiting = ahead - capacity.startableEndpoints() + 1;
    double wait = 0;
    if (waiting > 0) {
      double rate = capacity.slots() / service;
      wait = waiting / Math.max(rate * MINIMUM_SHARE, rate - overtakingPerMillisecond);
    }
    return new WaitEstimate(ahead, Math.max(wait, capacity.unavailableMilliseconds()), service);
  }

  /** Returns this estimate with a shorter wait, if another way to serve the statement is sooner. */
  WaitEstimate orSooner(double otherWaitMilliseconds) {
    return new WaitEstimate(
        ahead, Math.min(waitMilliseconds, otherWaitMilliseconds), serviceMilliseconds);
  }

  /** Returns whether the statement can start now, or completes by the given time. */
  boolean meets(long limit, long now) {
    return waitMilliseconds <= 0 || now + waitMilliseconds + serviceMilliseconds <= limit;
  }
}
