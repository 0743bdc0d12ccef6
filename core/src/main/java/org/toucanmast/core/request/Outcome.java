package org.toucanmast.core.request;

/** What is known of whether a request ran. */
public enum Outcome {
  /** It ran and its answer is complete. */
  RAN("ran"),
  /** It did not run and will not. */
  NOT_RUN("not-run"),
  /** It may have run. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /** Returns the word that callers see. */
  public String text() {
    return text;
  }
}
