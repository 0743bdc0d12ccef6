package org.toucanmast.core.statement;

/** The result of a statement, which also determines what is known about its effect. */
public enum ResultCode {
  /** The statement ran and its answer is complete. */
  SUCCESS(Effect.COMPLETE),
  /** The statement was refused because capacity is exhausted. */
  BUSY(Effect.NONE),
  /** The transaction was rolled back. */
  ABORTED(Effect.NONE),
  /** The endpoint's log has not reached the required position. */
  LAGGING(Effect.NONE),
  /** The endpoint is not the primary. */
  READ_ONLY(Effect.NONE),
  /** The endpoint at the address has another id than expected. */
  WRONG_ENDPOINT(Effect.NONE),
  /** The endpoint accepts no further connections. */
  CONNECTION_LIMIT(Effect.NONE),
  /** No statement is prepared under this name on the connection. */
  NO_STATEMENT(Effect.NONE),
  /** The API key belongs to no customer. */
  NO_CUSTOMER(Effect.NONE),
  /** No route has this database name. */
  NO_DATABASE(Effect.NONE),
  /** The message exceeds the maximum size. */
  TOO_BIG(Effect.NONE),
  /** The statement cannot be parsed, or is not valid in the session's state. */
  MALFORMED(Effect.NONE),
  /** The statement ran and failed. */
  FAILED(Effect.UNKNOWN),
  /** The statement exceeded its maximum duration. */
  TIMEOUT(Effect.UNKNOWN),
  /** The statement was sent and no answer was received. */
  IN_DOUBT(Effect.UNKNOWN),
  /** Only the group's gateway can run the read; never sent to callers. */
  NOT_NEARBY(Effect.NONE);

  /** What a result implies about the effect of the statement. */
  private enum Effect {
    COMPLETE,
    NONE,
    UNKNOWN
  }

  private final Effect effect;

  ResultCode(Effect effect) {
    this.effect = effect;
  }

  /** Returns whether this result guarantees that the attempt had no lasting effect. */
  public boolean guaranteesNoEffect() {
    return effect == Effect.NONE;
  }
}
