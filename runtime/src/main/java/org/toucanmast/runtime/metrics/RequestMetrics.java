package org.toucanmast.runtime.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RequestKind;

/** Counters and histograms of requests, for each customer and for each kind of request. */
public final class RequestMetrics {
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;
  private final MetricRegistry registry;
  private final Counter replicaReads;
  private final Counter primaryReads;
  private final Counter inFlight;

  /** Creates the metrics in a registry. */
  public RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.replicaReads = registry.counter("requests.reads.replica");
    this.primaryReads = registry.counter("requests.reads.primary");
    this.inFlight = registry.counter("requests.in.flight");
  }

  /** Notes that a request came. */
  public void onBegin() {
    inFlight.inc();
  }

  /** Notes that a request ended. */
  public void onEnd() {
    inFlight.dec();
  }

  /** Returns how many requests are running. */
  public long inFlight() {
    return inFlight.getCount();
  }

  /**
   * Notes a request that ran.
   *
   * @param duration from its arrival to its answer, in nanoseconds
   */
  public void onRan(String customer, RequestKind kind, boolean replica, long duration) {
    long microseconds = duration / NANOSECONDS_PER_MICROSECOND;
    histogram("requests.microseconds.customer." + customer).update(microseconds);
    histogram("requests.microseconds.kind." + kind.name().toLowerCase(Locale.ROOT))
        .update(microseconds);
    if (kind == RequestKind.READ) {
      (replica ? replicaReads : primaryReads).inc();
    }
  }

  /** Notes a request that ended without a result. */
  public void onRefused(String customer, Refusal refusal) {
    registry.counter("requests.refused.code." + refusal.code()).inc();
    registry.counter("requests.refused.customer." + customer + "." + refusal.code()).inc();
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new HdrReservoir()));
  }
}
