package org.toucanmast.runtime.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** Dropwizard reservoir that records all values since its creation in an HdrHistogram. */
public final class HdrReservoir implements Reservoir {
  private static final int SIGNIFICANT_DIGITS = 2;
  private final Recorder recorder = new Recorder(SIGNIFICANT_DIGITS);
  private final Histogram total = new Histogram(SIGNIFICANT_DIGITS);
  private Histogram interval;

  @Override
  public int size() {
    return (int) Math.min(Integer.MAX_VALUE, updateAndCopyTotal().getTotalCount());
  }

  @Override
  public void update(long value) {
    recorder.recordValue(Math.max(0, value));
  }

  @Override
  public Snapshot getSnapshot() {
    return new HdrSnapshot(updateAndCopyTotal());
  }

  private synchronized Histogram updateAndCopyTotal() {
    interval = recorder.getIntervalHistogram(interval);
    total.add(interval);
    return total.copy();
  }
}
