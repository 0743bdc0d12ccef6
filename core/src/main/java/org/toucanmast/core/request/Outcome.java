package org.toucanmast.core.request;

/** Whether a request ran, as known to the VM that handled it. */
public enum Outcome {
  /** The request ran and its result is complete. */
  RAN("ran"),
  /** The request did not run and will not run. */
  NOT_RUN("not-run"),
  /** The request may have run. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /** Returns the text that callers receive. */
  public String text() {
    return text;
  }
}
