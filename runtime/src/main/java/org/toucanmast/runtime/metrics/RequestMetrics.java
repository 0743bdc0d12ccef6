package org.toucanmast.runtime.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import io.prometheus.metrics.model.registry.MultiCollector;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import io.prometheus.metrics.model.snapshots.Quantiles;
import io.prometheus.metrics.model.snapshots.SummarySnapshot;
import io.prometheus.metrics.model.snapshots.SummarySnapshot.SummaryDataPointSnapshot;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RequestKind;

/**
 * Metrics of requests by customer, by kind of request and by refusal code.
 *
 * <p>The customer is the value of a label: names of metrics have fewer characters than names of
 * customers, and two customers that become the same name fail the export of all metrics.
 */
public final class RequestMetrics implements MultiCollector {
  private static final List<Double> QUANTILES = List.of(0.5, 0.75, 0.95, 0.98, 0.99, 0.999);
  private static final String CUSTOMER_LABEL = "customer";
  private static final String CODE_LABEL = "code";

  /** Stands for callers that were refused before their key was known. */
  private static final String NO_CUSTOMER = "-";

  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;
  private final MetricRegistry registry;
  private final Counter replicaReads;
  private final Counter primaryReads;
  private final Counter inFlight;
  private final Map<String, Histogram> microsecondsByCustomer = new ConcurrentHashMap<>();
  private final Map<CustomerRefusal, LongAdder> refusalsByCustomer = new ConcurrentHashMap<>();

  private long revision;

  private record CustomerRefusal(String customer, Refusal refusal) {
    private Labels labels() {
      return Labels.of(CODE_LABEL, refusal.code(), CUSTOMER_LABEL, customer);
    }
  }

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
    microsecondsByCustomer
        .computeIfAbsent(customer, name -> new Histogram(new HdrReservoir()))
        .update(microseconds);
    histogram("requests.microseconds.kind." + kind.name().toLowerCase(Locale.ROOT))
        .update(microseconds);
    if (kind == RequestKind.READ) {
      (replica ? replicaReads : primaryReads).inc();
    }
  }

  /** Counts a request that was refused or whose outcome is unknown. */
  public void onRefused(String customer, Refusal refusal) {
    registry.counter("requests.refused.code." + refusal.code()).inc();
    refusalsByCustomer
        .computeIfAbsent(new CustomerRefusal(customer, refusal), key -> new LongAdder())
        .increment();
  }

  /** Removes the metrics of customers and open routes that a new configuration no longer has. */
  public void onConfiguration(FleetConfiguration configuration) {
    if (configuration.revision() == revision) {
      return;
    }
    revision = configuration.revision();
    Set<String> names = new HashSet<>(configuration.allowances().keySet());
    names.add(NO_CUSTOMER);
    microsecondsByCustomer.keySet().retainAll(names);
    refusalsByCustomer.keySet().removeIf(key -> !names.contains(key.customer()));
  }

  /** Returns the metrics by customer; may be called from any thread. */
  @Override
  public MetricSnapshots collect() {
    SummarySnapshot.Builder durations =
        SummarySnapshot.builder().name("requests_microseconds_customer");
    microsecondsByCustomer.forEach(
        (customer, histogram) -> durations.dataPoint(dataPoint(customer, histogram)));
    CounterSnapshot.Builder refusals = CounterSnapshot.builder().name("requests_refused_customer");
    refusalsByCustomer.forEach(
        (key, count) ->
            refusals.dataPoint(
                CounterDataPointSnapshot.builder()
                    .labels(key.labels())
                    .value(count.sum())
                    .build()));
    return MetricSnapshots.of(durations.build(), refusals.build());
  }

  private static SummaryDataPointSnapshot dataPoint(String customer, Histogram histogram) {
    Snapshot snapshot = histogram.getSnapshot();
    Quantiles.Builder quantiles = Quantiles.builder();
    QUANTILES.forEach(quantile -> quantiles.quantile(quantile, snapshot.getValue(quantile)));
    return SummaryDataPointSnapshot.builder()
        .labels(Labels.of(CUSTOMER_LABEL, customer))
        .quantiles(quantiles.build())
        .count(histogram.getCount())
        .build();
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new HdrReservoir()));
  }
}
