package org.toucanmast.standin.measure;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Small helpers of all measurements. */
final class Figures {
  private Figures() {}

  /** Returns a figure with one decimal. */
  static String decimal(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }

  /** Waits. */
  static void pause(long milliseconds) {
    try {
      TimeUnit.MILLISECONDS.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
