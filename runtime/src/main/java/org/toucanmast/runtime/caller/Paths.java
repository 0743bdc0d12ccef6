package org.toucanmast.runtime.caller;

import com.google.common.base.Splitter;
import java.util.List;

/** Takes the paths of callers' requests apart. */
final class Paths {
  private static final Splitter SEGMENTS = Splitter.on('/');

  private Paths() {}

  /** Returns the parts between slashes; empty for a path that does not begin with one. */
  static List<String> segments(String path) {
    return path == null || !path.startsWith("/")
        ? List.of()
        : SEGMENTS.splitToList(path.substring(1));
  }

  /** Tells whether the parts match a pattern in which null stands for any part but an empty one. */
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
