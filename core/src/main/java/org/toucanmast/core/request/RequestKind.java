package org.toucanmast.core.request;

/** Effect of a request, which determines whether a VM may retry it. */
public enum RequestKind {
  /** Changes no data; may be retried at any endpoint. */
  READ(false, true),
  /** Changes data; running it again has no further effect. */
  IDEMPOTENT_WRITE(true, true),
  /** Changes data; never retried once it was sent. */
  WRITE(true, false);

  private final boolean writes;
  private final boolean repeatable;

  RequestKind(boolean writes, boolean repeatable) {
    this.writes = writes;
    this.repeatable = repeatable;
  }

  /** Returns whether the request changes data. */
  public boolean writes() {
    return writes;
  }

  /** Returns whether the request may be retried although an earlier attempt may have run. */
  public boolean isRepeatable() {
    return repeatable;
  }
}
