package org.toucanmast.runtime.metrics;

import com.codahale.metrics.Snapshot;
import java.io.OutputStream;
import java.io.PrintStream;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

/** Dropwizard snapshot of an HdrHistogram. */
final class HdrSnapshot extends Snapshot {
  private static final double PERCENT = 100.0;
  private final Histogram histogram;

  HdrSnapshot(Histogram histogram) {
    this.histogram = histogram;
  }

  @Override
  public double getValue(double quantile) {
    return histogram.getValueAtPercentile(quantile * PERCENT);
  }

  @Override
  public long[] getValues() {
    int buckets = 0;
    for (HistogramIterationValue ignored : histogram.recordedValues()) {
      buckets++;
    }
    long[] values = new long[buckets];
    int index = 0;
    for (HistogramIterationValue bucket : histogram.recordedValues()) {
      values[index] = bucket.getValueIteratedTo();
      index++;
    }
    return values;
  }

  @Override
  public int size() {
    return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
  }

  @Override
  public long getMax() {
    return histogram.getMaxValue();
  }

  @Override
  public double getMean() {
    return histogram.getMean();
  }

  @Override
  public long getMin() {
    return histogram.getMinValue();
  }

  @Override
  public double getStdDev() {
    return histogram.getStdDeviation();
  }

  @Override
  public void dump(OutputStream output) {
    histogram.outputPercentileDistribution(new PrintStream(output, true), 1.0);
  }
}
