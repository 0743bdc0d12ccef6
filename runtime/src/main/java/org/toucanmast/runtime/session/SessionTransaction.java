package org.toucanmast.runtime.session;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.catalog.Route;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.scheduling.OperationObjective;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.TransactionState;

/**
 * The transaction of a session.
 *
 * @param route the route in force when the transaction began; later changes do not apply to it
 * @param claim the customer that the transaction runs for, and the key by which it does
 * @param readOnly whether the transaction only reads
 * @param location the location of the gateway at which the transaction is open
 * @param handle the gateway's handle, or {@link StatementRequest#NO_TRANSACTION} before the first
 *     statement and after a failure
 * @param objective the latency objective of the transaction, or of a statement outside one
 * @param hasFailed whether the transaction failed, so that it can only be ended
 */
record SessionTransaction(
    Route route,
    KeyClaim<KeyFingerprint> claim,
    boolean readOnly,
    StatementSender.GatewayLocation location,
    long handle,
    OperationObjective objective,
    boolean hasFailed) {

  SessionTransaction(Route route, KeyClaim<KeyFingerprint> claim, boolean readOnly) {
    this(
        route,
        claim,
        readOnly,
        new StatementSender.GatewayLocation(Optional.empty()),
        StatementRequest.NO_TRANSACTION,
        OperationObjective.of(route.objectiveInMilliseconds()),
        false);
  }

  TransactionState state() {
    return hasFailed ? TransactionState.FAILED : TransactionState.OPEN;
  }

  boolean isOpenAtGateway() {
    return handle != StatementRequest.NO_TRANSACTION;
  }

  SessionTransaction openAt(StatementSender.GatewayLocation newLocation, long newHandle) {
    return new SessionTransaction(route, claim, readOnly, newLocation, newHandle, objective, false);
  }

  SessionTransaction failed() {
    return new SessionTransaction(
        route, claim, readOnly, location, StatementRequest.NO_TRANSACTION, objective, true);
  }

  /** Returns this transaction with its claim as of another configuration. */
  SessionTransaction withClaim(KeyClaim<KeyFingerprint> newClaim) {
    return new SessionTransaction(
        route, newClaim, readOnly, location, handle, objective, hasFailed);
  }

  /** Returns this transaction after one of its statements took the given time. */
  SessionTransaction afterStatement(long milliseconds) {
    return new SessionTransaction(
        route,
        claim,
        readOnly,
        location,
        handle,
        objective.afterStatement(milliseconds),
        hasFailed);
  }

  /**
   * Returns the request for a statement of this transaction.
   *
   * @param values the session variables
   * @param seen the newest position that the session's own commits reached
   * @param objectiveLeft what is left of the objective, in milliseconds; empty if statements are
   *     not scheduled by objectives
   */
  StatementRequest request(
      String requestId,
      Operation operation,
      String text,
      Optional<PreparedShape> shape,
      Map<String, String> values,
      Position seen,
      OptionalLong objectiveLeft) {
    return new StatementRequest(
        requestId,
        route.group(),
        claim,
        operation,
        text,
        shape,
        values,
        route.kind(),
        route.stalenessInMilliseconds(),
        seen,
        handle,
        readOnly,
        route.priority(),
        route.timeoutInMilliseconds(),
        objectiveLeft,
        false);
  }
}
