package org.toucanmast.runtime.caller;

import com.google.common.base.Splitter;
import java.net.URLDecoder;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;

/** Splits the URL paths of requests into decoded segments and matches them. */
final class UrlPaths {
  private static final Splitter SEGMENT_SPLITTER = Splitter.on('/');

  private UrlPaths() {}

  /**
   * Returns the decoded segments between slashes; no segments for a path that does not start with
   * one.
   *
   * @throws RefusedException if a segment is not percent-encoded UTF-8
   */
  static List<String> segments(String path) throws RefusedException {
    if (path == null || !path.startsWith("/")) {
      return List.of();
    }
    List<String> segments = new ArrayList<>();
    for (String segment : SEGMENT_SPLITTER.split(path.substring(1))) {
      segments.add(decoded(segment));
    }
    return segments;
  }

  /** Decodes a segment, in which each character stands for a byte. */
  private static String decoded(String segment) throws RefusedException {
    try {
      // URLDecoder is made for forms, where a plus sign is a blank.
      String bytes = URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.ISO_8859_1);
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(StandardCharsets.ISO_8859_1.encode(bytes))
          .toString();
    } catch (IllegalArgumentException | CharacterCodingException e) {
      throw new RefusedException(Refusal.MALFORMED, "the path is not percent-encoded UTF-8");
    }
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
