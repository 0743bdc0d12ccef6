package org.toucanmast.standin.load;

import io.vertx.core.json.JsonObject;

/**
 * One request of a load run as its caller observed it. Times are in microseconds since the start of
 * the run.
 *
 * @param customer the customer that sent the request
 * @param session the name of the session
 * @param database the database that the request was sent to
 * @param action the kind of request
 * @param requestId the request's id
 * @param key the key that was written or read
 * @param plannedAt the time at which the request was due
 * @param sentAt the time at which the request was sent
 * @param endedAt the time at which the answer, or the failure of the call, was seen
 * @param outcome ran, not-run or unknown
 * @param code the code of the refusal, or an empty text
 * @param replica whether a replica answered
 * @param tokened whether the request carried a session token
 * @param row the first row of the answer, or an empty text
 * @param vm the address of the VM that the request was sent to
 */
public record HistoryEntry(
    String customer,
    String session,
    String database,
    Action action,
    String requestId,
    String key,
    long plannedAt,
    long sentAt,
    long endedAt,
    String outcome,
    String code,
    boolean replica,
    boolean tokened,
    String row,
    String vm) {

  /** The kind of a request. */
  public enum Action {
    /** Appends the request's id to the session's key. */
    APPEND,
    /** Reads the session's key with the session's token. */
    READ,
    /** Reads the session's key with a maximum age. */
    AGED_READ,
    /** Appends the request's id to the session's key in a transaction. */
    TRANSACTION,
    /** Reads a key after the run, without a session token and therefore at the primary. */
    FINAL_READ
  }

  /** Returns whether the request ran. */
  public boolean ran() {
    return outcome.equals("ran");
  }

  /** Returns whether the request changes data when it runs. */
  public boolean writes() {
    return action == Action.APPEND || action == Action.TRANSACTION;
  }

  /** Returns this entry as a line of a history file, in JSON. */
  public String toJsonLine() {
    return JsonObject.mapFrom(this).encode();
  }
}
