package org.toucanmast.runtime.metrics;

import java.util.Set;

/**
 * Joins names of metrics with names of the configuration.
 *
 * <p>In the text for Prometheus, all characters but letters, digits and underscores are replaced by
 * underscores, and some suffixes are cut off. Two metrics of one name end the whole report.
 */
public final class MetricNames {
  /** Suffixes that the exposition format adds to names itself. */
  private static final Set<String> RESERVED = Set.of("total", "created", "bucket", "info");

  private MetricNames() {}

  /**
   * Returns the name of a metric of one customer or database. Letters of ASCII and digits stand for
   * themselves, all other characters for an underscore and four hexadecimal digits, so that
   * different names stay different.
   */
  public static String join(String prefix, String name) {
    StringBuilder joined = new StringBuilder(prefix).append('.');
    for (int index = 0; index < name.length(); index++) {
      char character = name.charAt(index);
      boolean plain = character < 0x80 && Character.isLetterOrDigit(character);
      if (plain && !(index == 0 && RESERVED.contains(name))) {
        joined.append(character);
      } else {
        joined.append(String.format("_%04x", (int) character));
      }
    }
    return joined.toString();
  }
}
