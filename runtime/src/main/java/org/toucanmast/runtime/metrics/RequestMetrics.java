package org.toucanmast.runtime.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RequestKind;

/** Metrics of requests by customer, by kind of request and by refusal code. */
public final class RequestMetrics {
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;
  private final MetricRegistry registry;
  private final Counter replicaReads;
  private final Counter primaryReads;
  private final Counter inFlight;

  /** Creates metrics that are registered in the given registry. */
  public RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.replicaReads = registry.counter("requests.reads.replica");
    this.primaryReads = registry.counter("requests.reads.primary");
    this.inFlight = registry.counter("requests.in.flight");
  }

  /** Counts a request that has started. */
  public void onStarted() {
    inFlight.inc();
  }

  /** Counts a request that has ended. */
  public void onEnded() {
    inFlight.dec();
  }

  /** Returns the number of running requests. */
  public long inFlight() {
    return inFlight.getCount();
  }

  /**
   * Records a request that succeeded.
   *
   * @param replica whether a replica answered it
   * @param durationInNanoseconds the time from its arrival to its response
   */
  public void onSucceeded(
      String customer, RequestKind kind, boolean replica, long durationInNanoseconds) {
    long microseconds = durationInNanoseconds / NANOSECONDS_PER_MICROSECOND;
    histogram(MetricNames.join("requests.microseconds.customer", customer)).update(microseconds);
    histogram("requests.microseconds.kind." + kind.name().toLowerCase(Locale.ROOT))
        .update(microseconds);
    if (kind == RequestKind.READ) {
      (replica ? replicaReads : primaryReads).inc();
    }
  }

  /** Counts a request that was refused or whose outcome is unknown. */
  public void onRefused(String customer, Refusal refusal) {
    registry.counter("requests.refused.code." + refusal.code()).inc();
    registry
        .counter(MetricNames.join("requests.refused.customer", customer) + "." + refusal.code())
        .inc();
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new HdrReservoir()));
  }
}
