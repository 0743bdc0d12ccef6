package org.toucanmast.runtime.caller;

import com.google.common.base.Splitter;
import java.util.List;

/** Splits the URL paths of requests into segments and matches them. */
final class UrlPaths {
  private static final Splitter SEGMENT_SPLITTER = Splitter.on('/');

  private UrlPaths() {}

  /** Returns the segments between slashes; no segments for a path that does not start with one. */
  static List<String> segments(String path) {
    return path == null || !path.startsWith("/")
        ? List.of()
        : SEGMENT_SPLITTER.splitToList(path.substring(1));
  }

  /** Returns whether the segments match a pattern, in which null matches any non-empty segment. */
  static boolean matches(List<String> segments, String... pattern) {
    if (segments.size() != pattern.length) {
      return false;
    }
    for (int index = 0; index < pattern.length; index++) {
      String expected = pattern[index];
      String actual = segments.get(index);
      if (expected == null ? actual.isEmpty() : !expected.equals(actual)) {
        return false;
      }
    }
    return true;
  }
}
