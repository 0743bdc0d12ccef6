package org.toucanmast.core.statement;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.group.Position;

/**
 * The request by which a session sends a statement to the gateway of a database group.
 *
 * @param requestId the id that the caller gave the statement
 * @param group the database group
 * @param claim the customer that the statement runs for, and the key by which it does
 * @param operation the operation to run
 * @param text the statement's text, or the arguments of a prepared statement
 * @param prepared the prepared statement to run; empty when {@code text} is a whole statement
 * @param values the session variables by name
 * @param kind the consistency that reads require
 * @param stalenessInMilliseconds the maximum staleness of reads, for kinds that allow replicas
 * @param seen the newest log position that the session's own commits reached
 * @param transaction the gateway's handle of the open transaction, or {@link #NO_TRANSACTION}
 * @param readOnly whether the transaction only reads
 * @param priority the priority of the statement; 0 is the highest
 * @param remainingInMilliseconds the time left until the deadline of the statement
 * @param objectiveLeftInMilliseconds what is left of the latency objective of the operation,
 *     negative if it has passed; empty if the sender does not schedule by objectives
 * @param nearbyOnly whether the receiver may run the read only on a replica in its own data centre
 */
public record StatementRequest(
    String requestId,
    String group,
    KeyClaim<KeyFingerprint> claim,
    Operation operation,
    String text,
    Optional<PreparedShape> prepared,
    Map<String, String> values,
    RouteKind kind,
    long stalenessInMilliseconds,
    Position seen,
    long transaction,
    boolean readOnly,
    int priority,
    long remainingInMilliseconds,
    OptionalLong objectiveLeftInMilliseconds,
    boolean nearbyOnly) {

  /** The handle that stands for no open transaction at the gateway. */
  public static final long NO_TRANSACTION = 0;

  /** Creates a request with an unmodifiable copy of the session variables. */
  public StatementRequest {
    values = Map.copyOf(values);
  }

  /** Returns the name of the customer that the statement runs for. */
  public String customer() {
    return claim.customer();
  }

  /** Returns whether only the primary can run this request. */
  public boolean needsPrimary() {
    return switch (operation) {
      case WRITE, TRANSACTION_WRITE -> true;
      case READ -> !kind.replicasAllowed();
      case TRANSACTION_READ, COMMIT, ROLLBACK -> !readOnly || !kind.replicasAllowed();
    };
  }

  /** Returns whether the gateway must begin a transaction before it runs this request. */
  public boolean beginsTransaction() {
    return operation.inTransaction() && transaction == NO_TRANSACTION;
  }

  /**
   * Returns a copy of this request with the given remaining time, for the group's gateway. What is
   * left of the objective decreases by the same time.
   */
  public StatementRequest forGateway(long remaining) {
    return copy(remaining, objectiveAfter(remaining), false);
  }

  /** Returns a copy of this request that has at most the given time left, in milliseconds. */
  public StatementRequest limitedTo(long milliseconds) {
    return copy(
        Math.min(remainingInMilliseconds, milliseconds), objectiveLeftInMilliseconds, nearbyOnly);
  }

  /** Returns the request that rolls back a transaction of this request's session. */
  public StatementRequest rollbackOf(long openTransaction) {
    return new StatementRequest(
        "-",
        group,
        claim,
        Operation.ROLLBACK,
        "",
        Optional.empty(),
        Map.of(),
        kind,
        stalenessInMilliseconds,
        seen,
        openTransaction,
        readOnly,
        priority,
        remainingInMilliseconds,
        objectiveLeftInMilliseconds,
        false);
  }

  /** Returns a copy of this request with the given remaining time, for a nearby gateway. */
  public StatementRequest forNearbyGateway(long remaining) {
    return copy(remaining, objectiveAfter(remaining), true);
  }

  private OptionalLong objectiveAfter(long remaining) {
    return objectiveLeftInMilliseconds.isEmpty()
        ? objectiveLeftInMilliseconds
        : OptionalLong.of(
            objectiveLeftInMilliseconds.getAsLong() - (remainingInMilliseconds - remaining));
  }

  private StatementRequest copy(long remaining, OptionalLong objectiveLeft, boolean nearby) {
    return new StatementRequest(
        requestId,
        group,
        claim,
        operation,
        text,
        prepared,
        values,
        kind,
        stalenessInMilliseconds,
        seen,
        transaction,
        readOnly,
        priority,
        remaining,
        objectiveLeft,
        nearby);
  }
}
