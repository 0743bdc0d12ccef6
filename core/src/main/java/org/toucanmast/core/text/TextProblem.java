package org.toucanmast.core.text;

import static java.util.Objects.requireNonNull;

/**
 * One thing wrong in a text of sections and keys.
 *
 * @param source the file or document
 * @param section the section, for example {@code customer clinic}
 * @param key the key, or an empty text when the section as a whole is wrong
 * @param reason what was expected and what was found
 */
public record TextProblem(String source, String section, String key, String reason) {

  /** Refuses missing parts. */
  public TextProblem {
    requireNonNull(source, "source");
    requireNonNull(section, "section");
    requireNonNull(key, "key");
    requireNonNull(reason, "reason");
  }

  /** Returns the problem in one line: source, section, key, reason. */
  public String describe() {
    String place = source + ": [" + section + "]";
    return key.isEmpty() ? place + ": " + reason : place + " " + key + ": " + reason;
  }
}
