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
 * The hours of the day in which a customer's requests run.
 *
 * @param ranges ranges of local time; empty means always
 * @param zone the time zone of the ranges
 */
public record OpeningHours(List<Range> ranges, ZoneId zone) {
  private static final String EXPECTED = "always, or ranges such as 07:00-12:00,13:00-19:00";
  private static final Splitter RANGES = Splitter.on(',').trimResults();
  private static final Splitter ENDS = Splitter.on('-').trimResults();

  /**
   * One range of local time; a range whose end is before its start goes over midnight.
   *
   * @param start the first moment that is open
   * @param end the first moment that is closed again
   */
  public record Range(LocalTime start, LocalTime end) {
    boolean contains(LocalTime time) {
      boolean afterStart = !time.isBefore(start);
      boolean beforeEnd = time.isBefore(end);
      return start.isBefore(end) ? afterStart && beforeEnd : afterStart || beforeEnd;
    }
  }

  /** Keeps a copy of the ranges. */
  public OpeningHours {
    ranges = List.copyOf(ranges);
  }

  /**
   * Parses the text form.
   *
   * @throws ValueFormatException when the text is neither {@code always} nor a list of ranges
   */
  public static OpeningHours parse(String text, ZoneId zone) throws ValueFormatException {
    if (text.equals("always")) {
      return new OpeningHours(List.of(), zone);
    }
    List<Range> ranges = new ArrayList<>();
    for (String part : RANGES.split(text)) {
      List<String> ends = ENDS.splitToList(part);
      if (ends.size() != 2) {
        throw new ValueFormatException(EXPECTED, text);
      }
      try {
        ranges.add(new Range(LocalTime.parse(ends.get(0)), LocalTime.parse(ends.get(1))));
      } catch (DateTimeException e) {
        throw new ValueFormatException(EXPECTED, text);
      }
    }
    return new OpeningHours(ranges, zone);
  }

  /** Tells whether requests run at the given time. */
  public boolean isOpen(Instant now) {
    if (ranges.isEmpty()) {
      return true;
    }
    LocalTime time = LocalTime.ofInstant(now, zone);
    return ranges.stream().anyMatch(range -> range.contains(time));
  }
}
