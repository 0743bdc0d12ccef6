package org.toucanmast.runtime.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;

/** A statement at its gateway, from its arrival to its result. */
final class PendingStatement {
  private final StatementRequest request;
  private final BiConsumer<PendingStatement, StatementResult> consumer;
  private final String caller;
  private final long arrivedAt;
  private final long deadline;
  private final Set<String> tried = new HashSet<>();
  private int attempts;
  private int running;
  private boolean needsPrimary;
  private boolean done;
  private long startedAt;

  /**
   * Creates a statement that waits.
   *
   * @param caller the VM that sent it, so that its transactions can be ended with it
   */
  PendingStatement(
      StatementRequest request,
      String caller,
      long now,
      BiConsumer<PendingStatement, StatementResult> consumer) {
    this.request = request;
    this.caller = caller;
    this.consumer = consumer;
    this.arrivedAt = now;
    this.deadline = now + request.remainingInMilliseconds();
    this.needsPrimary = request.needsPrimary();
  }

  StatementRequest request() {
    return request;
  }

  String caller() {
    return caller;
  }

  long arrivedAt() {
    return arrivedAt;
  }

  long deadline() {
    return deadline;
  }

  boolean needsPrimary() {
    return needsPrimary;
  }

  void requirePrimary() {
    needsPrimary = true;
  }

  void started(String endpointId, long now) {
    tried.add(endpointId);
    attempts++;
    running++;
    startedAt = now;
  }

  void attemptEnded() {
    running--;
  }

  /** Returns whether another attempt still runs. */
  boolean isRunning() {
    return running > 0;
  }

  boolean hasTried(String endpointId) {
    return tried.contains(endpointId);
  }

  /** Returns the endpoints that it was started at. */
  Set<String> tried() {
    return Set.copyOf(tried);
  }

  int attempts() {
    return attempts;
  }

  long startedAt() {
    return startedAt;
  }

  boolean isDone() {
    return done;
  }

  /** Ends the statement without an answer of an endpoint. */
  void refuse(ResultCode code, String reason) {
    finish(StatementResult.failure(code, reason));
  }

  void finish(StatementResult result) {
    if (!done) {
      done = true;
      consumer.accept(this, result);
    }
  }
}
