package org.toucanmast.runtime.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.scheduling.StatementTerms;
import org.toucanmast.core.scheduling.WaitEstimate;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;

/** A statement at its gateway, from its arrival to its result. */
final class PendingStatement {
  /** Length of a statement's id and text that leaves room for a position in the same message. */
  private static final int MAXIMUM_LENGTH_BESIDE_POSITION = 64 * 1024;

  private final StatementRequest request;
  private final BiConsumer<PendingStatement, StatementResult> onFinished;
  private final VmRun origin;
  private final long arrivedAt;
  private final long deadline;
  private final long objectiveAt;
  private final long place;
  private final Set<String> triedEndpoints = new HashSet<>();
  private int attempts;
  private int runningAttempts;
  private boolean needsPrimary;
  private boolean retryWaiting;
  private boolean done;
  private long lastAttemptAt;
  private Optional<WaitEstimate> refusedBy = Optional.empty();

  /**
   * Creates a statement that has not been started.
   *
   * @param place the number of the statement in the order of arrival at its gateway
   * @param origin the run of a VM that sent the statement; its open transactions end when it is
   *     lost
   */
  PendingStatement(
      StatementRequest request,
      VmRun origin,
      long now,
      long place,
      BiConsumer<PendingStatement, StatementResult> onFinished) {
    this.request = request;
    this.origin = origin;
    this.onFinished = onFinished;
    this.arrivedAt = now;
    this.deadline = now + request.remainingInMilliseconds();
    this.objectiveAt =
        now + request.objectiveLeftInMilliseconds().orElse(request.remainingInMilliseconds());
    this.place = place;
    this.needsPrimary = request.needsPrimary();
  }

  StatementRequest request() {
    return request;
  }

  VmRun origin() {
    return origin;
  }

  long arrivedAt() {
    return arrivedAt;
  }

  long deadline() {
    return deadline;
  }

  /** Returns what decides the order of the statement while it waits. */
  StatementTerms terms() {
    return new StatementTerms(
        request.priority(), request.customer(), needsPrimary, objectiveAt, deadline, place);
  }

  long objectiveAt() {
    return objectiveAt;
  }

  /** Refuses the statement because the estimate shows that it cannot complete in time. */
  void refuse(WaitEstimate estimate) {
    if (request.nearbyOnly()) {
      failNotNearby();
      return;
    }
    refusedBy = Optional.of(estimate);
    fail(ResultCode.BUSY, "expected wait exceeds the time left");
  }

  /** Leaves a read that nearby replicas cannot serve now to the group's gateway. */
  void failNotNearby() {
    fail(ResultCode.NOT_NEARBY, "no nearby replica can serve the read now");
  }

  /** Returns the estimate that refused the statement; empty if none did. */
  Optional<WaitEstimate> refusedBy() {
    return refusedBy;
  }

  boolean needsPrimary() {
    return needsPrimary;
  }

  /**
   * Returns whether this is a read that runs in a transaction of the gateway: it needs the primary,
   * or it may exceed the maximum length of a message together with the position that it needs,
   * which the begin of the transaction then carries.
   */
  boolean isWrapped(Optional<Position> minimumPosition) {
    int length = request.requestId().length() + request.text().length();
    boolean isLong = minimumPosition.isPresent() && length > MAXIMUM_LENGTH_BESIDE_POSITION;
    return request.operation() == Operation.READ && (needsPrimary || isLong);
  }

  void requirePrimary() {
    needsPrimary = true;
  }

  void onAttemptStarted(String endpointId, long now) {
    triedEndpoints.add(endpointId);
    retryWaiting = false;
    attempts++;
    runningAttempts++;
    lastAttemptAt = now;
  }

  /** Records that the statement waits in a queue for another attempt beside the running one. */
  void onRetryQueued() {
    retryWaiting = true;
  }

  /** Returns whether another attempt waits in a queue, beside one that is running. */
  boolean isRetryWaiting() {
    return retryWaiting;
  }

  void onAttemptEnded() {
    runningAttempts--;
  }

  /** Returns whether an attempt at the statement is running. */
  boolean hasRunningAttempt() {
    return runningAttempts > 0;
  }

  boolean hasTried(String endpointId) {
    return triedEndpoints.contains(endpointId);
  }

  /** Returns the ids of the endpoints on which the statement was started. */
  Set<String> triedEndpoints() {
    return Set.copyOf(triedEndpoints);
  }

  int attempts() {
    return attempts;
  }

  long lastAttemptAt() {
    return lastAttemptAt;
  }

  boolean isDone() {
    return done;
  }

  /** Ends the statement with a failure that the gateway determines. */
  void fail(ResultCode code, String reason) {
    finish(StatementResult.failure(code, reason));
  }

  void finish(StatementResult result) {
    if (!done) {
      done = true;
      onFinished.accept(this, result);
    }
  }
}
