package org.toucanmast.core.concurrency;

/**
 * How the concurrency limit of an endpoint follows its slow-down.
 *
 * <p>Load pattern: an endpoint that becomes slow long before its slots are full. Endpoints have few
 * slots, so a limit that is too low by one costs a large share of their throughput.
 */
public enum ConcurrencyRule {
  /** The limit is the maximum, however slow the endpoint is. */
  FIXED {
    @Override
    double next(double limit, double maximum, double slowdown) {
      return maximum;
    }
  },
  /**
   * The limit follows the ratio of the usual service time to the present one, as in gradient
   * limiters, and grows by its square root.
   */
  GRADIENT {
    @Override
    double next(double limit, double maximum, double slowdown) {
      if (slowdown <= TOLERATED_SLOWDOWN) {
        return Math.min(maximum, limit + Math.sqrt(limit));
      }
      return limit * Math.max(LARGEST_DECREASE, TOLERATED_SLOWDOWN / slowdown);
    }
  },
  /** The limit grows by one and shrinks by a constant factor while the endpoint is slow. */
  ADDITIVE_INCREASE {
    @Override
    double next(double limit, double maximum, double slowdown) {
      return slowdown <= TOLERATED_SLOWDOWN
          ? Math.min(maximum, limit + 1)
          : limit * MULTIPLICATIVE_DECREASE;
    }
  };

  /**
   * Slow-down that is not acted upon. The average of the last 15 samples of a log-normal service
   * time with a spread of 0.7 deviates by a factor of 1.2, so this is more than four deviations
   * from the usual service time, which is estimated slightly too low.
   */
  public static final double TOLERATED_SLOWDOWN = 2.5;

  private static final double LARGEST_DECREASE = 0.5;
  private static final double MULTIPLICATIVE_DECREASE = 0.7;

  /**
   * Returns the limit after one interval.
   *
   * @param limit the present limit
   * @param maximum the largest limit
   * @param slowdown the ratio of the present service time to the usual one
   */
  abstract double next(double limit, double maximum, double slowdown);
}
