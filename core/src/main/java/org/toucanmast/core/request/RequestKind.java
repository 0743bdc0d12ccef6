package org.toucanmast.core.request;

/** What a request does, and so what a VM may do with it. */
public enum RequestKind {
  /** Changes nothing; may be sent again to any endpoint. */
  READ(false, true),
  /** Changes data, and running it again changes nothing more. */
  IDEMPOTENT_WRITE(true, true),
  /** Changes data; never sent a second time once it was sent. */
  WRITE(true, false);

  private final boolean writes;
  private final boolean repeatable;

  RequestKind(boolean writes, boolean repeatable) {
    this.writes = writes;
    this.repeatable = repeatable;
  }

  /** Tells whether it changes data. */
  public boolean writes() {
    return writes;
  }

  /** Tells whether it may be sent again although an earlier sending may have run. */
  public boolean isRepeatable() {
    return repeatable;
  }
}
