package org.toucanmast.core.configuration;

import com.google.common.base.Splitter;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import org.toucanmast.core.text.ValueFormatException;

/**
 * The hours of the day in which a customer's requests are accepted.
 *
 * @param ranges the ranges of local time; an empty list means always
 * @param zone the time zone of the ranges
 */
public record OpeningHours(List<Range> ranges, ZoneId zone) {
  private static final String EXPECTED = "always, or ranges such as 07:00-12:00,13:00-19:00";
  private static final Splitter RANGE_SPLITTER = Splitter.on(',').trimResults();
  private static final Splitter START_AND_END_SPLITTER = Splitter.on('-').trimResults();

  /**
   * A range of local time. A range whose end is not after its start includes midnight.
   *
   * @param start the start, inclusive
   * @param end the end, exclusive
   */
  public record Range(LocalTime start, LocalTime end) {
    boolean contains(LocalTime time) {
      boolean atOrAfterStart = !time.isBefore(start);
      boolean beforeEnd = time.isBefore(end);
      return start.isBefore(end) ? atOrAfterStart && beforeEnd : atOrAfterStart || beforeEnd;
    }
  }

  /** Creates opening hours with an unmodifiable copy of the ranges. */
  public OpeningHours {
    ranges = List.copyOf(ranges);
  }

  /**
   * Parses {@code always} or a comma-separated list of ranges such as {@code 07:00-12:00}.
   *
   * @throws ValueFormatException when the text has neither form
   */
  public static OpeningHours parse(String text, ZoneId zone) throws ValueFormatException {
    if (text.equals("always")) {
      return new OpeningHours(List.of(), zone);
    }
    List<Range> ranges = new ArrayList<>();
    for (String range : RANGE_SPLITTER.split(text)) {
      List<String> startAndEnd = START_AND_END_SPLITTER.splitToList(range);
      if (startAndEnd.size() != 2) {
        throw new ValueFormatException(EXPECTED, text);
      }
      try {
        ranges.add(
            new Range(LocalTime.parse(startAndEnd.get(0)), LocalTime.parse(startAndEnd.get(1))));
      } catch (DateTimeException e) {
        throw new ValueFormatException(EXPECTED, text);
      }
    }
    return new OpeningHours(ranges, zone);
  }

  /** Returns whether requests are accepted at the given time. */
  public boolean isOpen(Instant now) {
    if (ranges.isEmpty()) {
      return true;
    }
    LocalTime time = LocalTime.ofInstant(now, zone);
    return ranges.stream().anyMatch(range -> range.contains(time));
  }
}
