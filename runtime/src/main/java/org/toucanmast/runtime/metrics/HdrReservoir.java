package org.toucanmast.runtime.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** A Dropwizard reservoir that keeps every value in an HdrHistogram. */
public final class HdrReservoir implements Reservoir {
  private static final int SIGNIFICANT_DIGITS = 2;
  private final Recorder recorder = new Recorder(SIGNIFICANT_DIGITS);
  private final Histogram total = new Histogram(SIGNIFICANT_DIGITS);
  private Histogram interval;

  @Override
  public int size() {
    return (int) Math.min(Integer.MAX_VALUE, collect().getTotalCount());
  }

  @Override
  public void update(long value) {
    recorder.recordValue(Math.max(0, value));
  }

  @Override
  public Snapshot getSnapshot() {
    return new HdrSnapshot(collect());
  }

  private synchronized Histogram collect() {
    interval = recorder.getIntervalHistogram(interval);
    total.add(interval);
    return total.copy();
  }
}
