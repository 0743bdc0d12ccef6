package org.toucanmast.standin.load;

import io.vertx.core.json.JsonObject;

/**
 * One request of a load run, as its caller saw it.
 *
 * @param customer who sent it
 * @param session the session it belongs to
 * @param database the database it named
 * @param action what it was
 * @param requestId its id
 * @param key the key it wrote or read
 * @param plannedAt when it was due, in microseconds of the run
 * @param sentAt when it was sent
 * @param endedAt when its answer came
 * @param outcome ran, not-run or unknown
 * @param code why it was refused, or an empty text
 * @param replica whether a replica answered
 * @param tokened whether the request carried a session token
 * @param row the first row of the answer
 * @param vm the VM it was sent to
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

  /** What a request does. */
  public enum Action {
    /** Appends its own id to the session's key. */
    APPEND,
    /** Reads the session's key with the session's token. */
    READ,
    /** Reads the session's key, accepting an age. */
    AGED_READ,
    /** A transaction of one append. */
    TRANSACTION,
    /** Reads a key at the primary after the run. */
    FINAL_READ
  }

  /** Tells whether it ran. */
  public boolean ran() {
    return outcome.equals("ran");
  }

  /** Tells whether it changed data if it ran. */
  public boolean writes() {
    return action == Action.APPEND || action == Action.TRANSACTION;
  }

  /** Returns the JSON line of a history file. */
  public String toLine() {
    return JsonObject.mapFrom(this).encode();
  }
}
