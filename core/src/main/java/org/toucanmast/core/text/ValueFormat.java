package org.toucanmast.core.text;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.toucanmast.core.configuration.OpeningHours;

/** The formats of values in a section; each format parses the text of a value. */
public enum ValueFormat {
  /** Any text. */
  TEXT {
    @Override
    public Object parse(String text) {
      return text;
    }
  },
  /** Up to 63 letters, digits, dots, hyphens and underscores, starting with a letter or digit. */
  NAME {
    @Override
    public Object parse(String text) throws ValueFormatException {
      return requireMatch(NAME_PATTERN, "letters, digits, dots, hyphens and underscores", text);
    }
  },
  /** A comma-separated list of names. */
  NAME_LIST {
    @Override
    public Object parse(String text) throws ValueFormatException {
      return parseList(NAME, text);
    }
  },
  /** A duration with a unit, parsed to nanoseconds. */
  DURATION {
    @Override
    public Object parse(String text) throws ValueFormatException {
      return parseQuantity(
          DURATION_UNITS, "a duration with one of the units ns, us, ms, s, m, h", text);
    }
  },
  /** A size with a unit, parsed to bytes. */
  SIZE {
    @Override
    public Object parse(String text) throws ValueFormatException {
      return parseQuantity(SIZE_UNITS, "a size with one of the units B, KiB, MiB", text);
    }
  },
  /** A whole number. */
  INTEGER {
    @Override
    public Object parse(String text) throws ValueFormatException {
      try {
        return Long.parseLong(text);
      } catch (NumberFormatException e) {
        throw new ValueFormatException("a whole number", text);
      }
    }
  },
  /** A rate such as {@code 20/s}, parsed to requests per second. */
  RATE {
    @Override
    public Object parse(String text) throws ValueFormatException {
      Matcher matcher = RATE_PATTERN.matcher(text);
      if (!matcher.matches()) {
        throw new ValueFormatException("a rate such as 20/s", text);
      }
      return Double.parseDouble(matcher.group(1));
    }
  },
  /** An IP address and a port. */
  ADDRESS {
    @Override
    public Object parse(String text) throws ValueFormatException {
      try {
        HostAndPort address = HostAndPort.fromString(text);
        if (address.hasPort() && InetAddresses.isInetAddress(address.getHost())) {
          return text;
        }
      } catch (IllegalArgumentException e) {
        throw new ValueFormatException("an IP address and a port such as 127.0.0.1:8080", text);
      }
      throw new ValueFormatException("an IP address and a port such as 127.0.0.1:8080", text);
    }
  },
  /** A comma-separated list of addresses. */
  ADDRESS_LIST {
    @Override
    public Object parse(String text) throws ValueFormatException {
      return parseList(ADDRESS, text);
    }
  },
  /** {@code yes} or {@code no}, parsed to a Boolean. */
  FLAG {
    @Override
    public Object parse(String text) throws ValueFormatException {
      return switch (text) {
        case "yes" -> true;
        case "no" -> false;
        default -> throw new ValueFormatException("yes or no", text);
      };
    }
  },
  /** Opening hours: {@code always} or a comma-separated list of ranges of local time. */
  HOURS {
    @Override
    public Object parse(String text) throws ValueFormatException {
      OpeningHours.parse(text, ZoneId.of("UTC"));
      return text;
    }
  },
  /** The id of a time zone, such as {@code America/Bogota}. */
  ZONE {
    @Override
    public Object parse(String text) throws ValueFormatException {
      try {
        return ZoneId.of(text).getId();
      } catch (DateTimeException e) {
        throw new ValueFormatException("a time zone such as America/Bogota", text);
      }
    }
  },
  /** A comma-separated list of SHA-256 hashes of API keys, in hexadecimal digits. */
  KEY_HASH_LIST {
    @Override
    public Object parse(String text) throws ValueFormatException {
      for (String hash : LIST_SPLITTER.split(text)) {
        requireMatch(HASH_PATTERN, "64 hexadecimal digits", hash);
      }
      return LIST_SPLITTER.splitToList(text);
    }
  },
  /** The path of a readable file. */
  FILE {
    @Override
    public Object parse(String text) throws ValueFormatException {
      if (!Files.isReadable(Path.of(text))) {
        throw new ValueFormatException("the path of a readable file", text);
      }
      return text;
    }
  },
  /** One of the choices in the schema; {@link SectionReader} checks it against them. */
  CHOICE {
    @Override
    public Object parse(String text) {
      return text;
    }
  };

  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern HASH_PATTERN = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern RATE_PATTERN = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)/s");
  private static final Pattern QUANTITY_PATTERN = Pattern.compile("([0-9]{1,12})([A-Za-z]+)");
  private static final Splitter LIST_SPLITTER = Splitter.on(',').trimResults().omitEmptyStrings();
  private static final Map<String, Long> DURATION_UNITS =
      Map.of(
          "ns", 1L,
          "us", 1_000L,
          "ms", 1_000_000L,
          "s", 1_000_000_000L,
          "m", 60_000_000_000L,
          "h", 3_600_000_000_000L);
  private static final Map<String, Long> SIZE_UNITS =
      Map.of("B", 1L, "KiB", 1_024L, "MiB", 1_048_576L);

  /**
   * Parses the text of one value.
   *
   * @return a String, Long, Double, Boolean or List of Strings, depending on the format
   * @throws ValueFormatException when the text does not have this format
   */
  public abstract Object parse(String text) throws ValueFormatException;

  private static String requireMatch(Pattern pattern, String expected, String text)
      throws ValueFormatException {
    if (!pattern.matcher(text).matches()) {
      throw new ValueFormatException(expected, text);
    }
    return text;
  }

  private static List<Object> parseList(ValueFormat element, String text)
      throws ValueFormatException {
    List<Object> values = new ArrayList<>();
    for (String part : LIST_SPLITTER.split(text)) {
      values.add(element.parse(part));
    }
    return values;
  }

  private static long parseQuantity(Map<String, Long> units, String expected, String text)
      throws ValueFormatException {
    Matcher matcher = QUANTITY_PATTERN.matcher(text);
    if (!matcher.matches() || !units.containsKey(matcher.group(2))) {
      throw new ValueFormatException(expected, text);
    }
    try {
      return Math.multiplyExact(Long.parseLong(matcher.group(1)), units.get(matcher.group(2)));
    } catch (ArithmeticException e) {
      throw new ValueFormatException(expected, text);
    }
  }
}
