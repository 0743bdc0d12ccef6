package org.toucanmast.core.concurrency;

import java.util.ArrayList;
import java.util.List;

/**
 * The learned limits of the endpoints of one group at one gateway, and what a statement of each
 * kind usually takes there.
 *
 * <p>Load pattern: short writes beside long reads. The estimate of a service time is a product of
 * the work of the kind, which all endpoints of the group share, and the slowness of the endpoint.
 * Both are kept as logarithms, because service times vary by factors. What slows all endpoints at
 * once is no reason to limit one of them.
 */
public final class EndpointLimits {
  /** Weight of a sample in the work of a kind; the slowness of an endpoint follows much faster. */
  private static final double WORK_GAIN = 1.0 / 256;

  /** Samples before which the work of a kind is not compared with. */
  private static final int MINIMUM_SAMPLES = 16;

  private final ConcurrencyRule rule;
  private final List<EndpointLimit> endpoints = new ArrayList<>();
  private final double[] work = new double[StatementForm.KINDS];
  private final int[] samples = new int[StatementForm.KINDS];

  /** Creates limits without endpoints. */
  public EndpointLimits(ConcurrencyRule rule) {
    this.rule = rule;
  }

  /** Adds an endpoint whose replies have not been observed. */
  public EndpointLimit add(int slots) {
    EndpointLimit endpoint = new EndpointLimit(this, rule, slots);
    endpoints.add(endpoint);
    return endpoint;
  }

  /** Removes an endpoint. */
  public void remove(EndpointLimit endpoint) {
    endpoints.remove(endpoint);
  }

  /** Returns whether enough statements of a kind have been observed to compare others with them. */
  boolean isKnown(int kind) {
    return samples[kind] >= MINIMUM_SAMPLES;
  }

  double work(int kind) {
    return work[kind];
  }

  /** Adds a sample of a kind, given the slowness of its endpoint before the sample. */
  void observeWork(int kind, double logarithm, double slowness) {
    samples[kind]++;
    double gain = Math.max(WORK_GAIN, 1.0 / samples[kind]);
    work[kind] += gain * (logarithm - slowness - work[kind]);
  }

  /** Returns the logarithm of the slow-down that all other observed endpoints share, at least 0. */
  double commonSlowdown(EndpointLimit except, long now) {
    double lowest = Double.POSITIVE_INFINITY;
    for (int index = 0; index < endpoints.size(); index++) {
      EndpointLimit other = endpoints.get(index);
      if (other != except && other.isObserved(now)) {
        lowest = Math.min(lowest, other.ownSlowdown());
      }
    }
    return lowest == Double.POSITIVE_INFINITY ? 0 : Math.max(0, lowest);
  }

  /** Returns the lowest error rate of the other endpoints; 1 if there is none. */
  double lowestErrorRate(EndpointLimit except) {
    double lowest = 1;
    for (int index = 0; index < endpoints.size(); index++) {
      EndpointLimit other = endpoints.get(index);
      if (other != except) {
        lowest = Math.min(lowest, other.errorRate());
      }
    }
    return lowest;
  }

  /** Returns the slowness of the fastest observed endpoint; 0 before the first sample. */
  double lowestSlowness() {
    double lowest = Double.POSITIVE_INFINITY;
    for (int index = 0; index < endpoints.size(); index++) {
      EndpointLimit endpoint = endpoints.get(index);
      if (endpoint.hasSamples()) {
        lowest = Math.min(lowest, endpoint.slowness());
      }
    }
    return lowest == Double.POSITIVE_INFINITY ? 0 : lowest;
  }
}
