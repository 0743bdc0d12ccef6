package org.toucanmast.core.text;

import static java.util.Objects.requireNonNull;

/**
 * A problem in a section of key-value pairs.
 *
 * @param source the name of the file or document
 * @param section the section, for example {@code customer clinic}
 * @param key the key, or an empty string when the section as a whole is invalid
 * @param reason the reason, with the expected and the actual value where there is one
 */
public record TextProblem(String source, String section, String key, String reason) {

  /**
   * Creates a problem.
   *
   * @throws NullPointerException when a component is null
   */
  public TextProblem {
    requireNonNull(source, "source");
    requireNonNull(section, "section");
    requireNonNull(key, "key");
    requireNonNull(reason, "reason");
  }

  /** Returns the problem in one line: source, section, key and reason. */
  public String describe() {
    String location = source + ": [" + section + "]";
    return key.isEmpty() ? location + ": " + reason : location + " " + key + ": " + reason;
  }
}
