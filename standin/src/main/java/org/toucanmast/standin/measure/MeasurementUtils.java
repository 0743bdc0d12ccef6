package org.toucanmast.standin.measure;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Formatting and waiting, shared by the measurements. */
final class MeasurementUtils {
  private MeasurementUtils() {}

  /** Formats a value with one decimal place. */
  static String decimal(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }

  /** Blocks the calling thread; returns early, with the interrupt flag set, when interrupted. */
  static void pause(long milliseconds) {
    try {
      TimeUnit.MILLISECONDS.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
