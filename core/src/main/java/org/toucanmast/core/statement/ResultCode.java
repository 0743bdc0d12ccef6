package org.toucanmast.core.statement;

/** How a statement ended, and what that says about its effect. */
public enum ResultCode {
  /** It ran and its answer is whole. */
  SUCCESS(Effect.RAN),
  /** Refused for want of capacity. */
  BUSY(Effect.NOTHING_KEPT),
  /** The transaction was rolled back. */
  ABORTED(Effect.NOTHING_KEPT),
  /** The log does not reach the position that was asked for. */
  LAGGING(Effect.NOTHING_KEPT),
  /** The endpoint does not lead. */
  READ_ONLY(Effect.NOTHING_KEPT),
  /** The endpoint is another one than expected. */
  WRONG_ENDPOINT(Effect.NOTHING_KEPT),
  /** The endpoint has no room for another connection. */
  CONNECTION_LIMIT(Effect.NOTHING_KEPT),
  /** The prepared statement is not known on the connection. */
  NO_STATEMENT(Effect.NOTHING_KEPT),
  /** The key belongs to no customer. */
  NO_CUSTOMER(Effect.NOTHING_KEPT),
  /** No route has the name of the database. */
  NO_DATABASE(Effect.NOTHING_KEPT),
  /** The message is larger than allowed. */
  TOO_BIG(Effect.NOTHING_KEPT),
  /** The statement cannot be understood, or does not fit the session's state. */
  MALFORMED(Effect.NOTHING_KEPT),
  /** It ran and failed. */
  FAILED(Effect.UNKNOWN),
  /** It ran longer than allowed. */
  TIMEOUT(Effect.UNKNOWN),
  /** It was sent, and no answer came. */
  IN_DOUBT(Effect.UNKNOWN);

  /** What is known about the effect. */
  private enum Effect {
    RAN,
    NOTHING_KEPT,
    UNKNOWN
  }

  private final Effect effect;

  ResultCode(Effect effect) {
    this.effect = effect;
  }

  /** Returns whether this result states that nothing of the attempt is kept. */
  public boolean promisesNothingKept() {
    return effect == Effect.NOTHING_KEPT;
  }
}
