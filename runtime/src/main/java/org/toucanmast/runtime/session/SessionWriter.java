package org.toucanmast.runtime.session;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.core.statement.TransactionState;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;

/** Writes the answers of a session to its caller, and logs them. */
final class SessionWriter {
  /** Time in which input is read that had to wait while the write queue was full. */
  private static final long READING_TIME_IN_MILLISECONDS = 50;

  private final SessionContext context;
  private final NetSocket socket;
  private final SessionReading reading;
  private Future<Void> lastWrite = Future.succeededFuture();
  private boolean resultsDiscarded;
  private StatementRequest lastAnswered;

  SessionWriter(SessionContext context, NetSocket socket, SessionReading reading) {
    this.context = context;
    this.socket = socket;
    this.reading = reading;
  }

  /** Writes bytes; pauses reading from the caller while the write queue is full. */
  void write(Buffer bytes) {
    lastWrite = socket.write(bytes);
    if (socket.writeQueueFull()) {
      reading.setOutputFull(true);
      socket.drainHandler(drained -> reading.setOutputFull(false));
    }
  }

  /**
   * Closes the connection as soon as everything that was written has been sent, including what is
   * written meanwhile.
   */
  void closeAfterWrites() {
    Future<Void> awaited = lastWrite;
    awaited.onComplete(
        done -> {
          if (awaited != lastWrite) {
            closeAfterWrites();
          } else if (done.succeeded() && reading.takeInputMayBeUnread()) {
            // Closing a connection with unread input resets it, and the last answers are lost.
            context.vertx().setTimer(READING_TIME_IN_MILLISECONDS, fired -> closeAfterWrites());
          } else {
            socket.close();
          }
        });
  }

  /** Only logs and counts the results of statements from now on, since the session has ended. */
  void discardResults() {
    resultsDiscarded = true;
  }

  /**
   * Writes, logs and counts a statement's result. A second result of the same request, which was
   * answered at the stop before its gateway did, is dropped.
   *
   * @param database the database name of the route
   * @param startedAt when the statement was started, on the steady clock in milliseconds
   * @param lastCommitted the newest position that the session's own commits reached
   */
  void answer(
      StatementRequest request,
      StatementResult result,
      String database,
      long startedAt,
      TransactionState state,
      Position lastCommitted) {
    if (request == lastAnswered) {
      return;
    }
    lastAnswered = request;
    long durationInMilliseconds = context.clock().now() - startedAt;
    context
        .metrics()
        .onResult(request.customer(), request.kind(), result.code(), durationInMilliseconds);
    request
        .objectiveLeftInMilliseconds()
        .ifPresent(
            left -> context.metrics().onOutcome(database, result, left - durationInMilliseconds));
    if (result.isSuccess()) {
      logSuccess(request, durationInMilliseconds);
      writeResult(
          context.dialect().success(result.rows(), result.text(), state, result.position()));
    } else {
      logFailure(request, result, durationInMilliseconds);
      writeResult(context.dialect().failure(result.code(), result.text(), state, lastCommitted));
    }
  }

  private void writeResult(Buffer bytes) {
    if (!resultsDiscarded) {
      write(bytes);
    }
  }

  private void logSuccess(StatementRequest request, long durationInMilliseconds) {
    if (durationInMilliseconds >= EventLog.SLOW_THRESHOLD_IN_MILLISECONDS) {
      context.log().log(
          EventKind.REQUEST_SLOW,
          "slow",
          "request",
          request.requestId(),
          "group",
          request.group(),
          "customer",
          request.customer(),
          "operation",
          request.operation(),
          "milliseconds",
          durationInMilliseconds,
          "configuration",
          context.catalog().version());
      return;
    }
    context.log().log(
        EventKind.REQUEST_SERVED,
        "served",
        "request",
        request.requestId(),
        "operation",
        request.operation(),
        "milliseconds",
        durationInMilliseconds);
  }

  private void logFailure(
      StatementRequest request, StatementResult result, long durationInMilliseconds) {
    context.log().log(
        EventKind.REQUEST_FAILED,
        "failed",
        "request",
        request.requestId(),
        "group",
        request.group(),
        "customer",
        request.customer(),
        "operation",
        request.operation(),
        "route",
        request.kind(),
        "code",
        result.code(),
        "reason",
        result.text(),
        "milliseconds",
        durationInMilliseconds,
        "configuration",
        context.catalog().version());
  }

  /** Logs that a session was refused. */
  void logRefusedSession(ResultCode code) {
    context.log().log(
        EventKind.REQUEST_FAILED,
        "session refused",
        "code",
        code,
        "configuration",
        context.catalog().version(),
        "ages",
        context.mirrorAges());
  }

  /** Writes and logs that a statement was refused before it was sent to a gateway. */
  void refuse(
      String requestId,
      ResultCode code,
      String reason,
      TransactionState state,
      Position lastCommitted) {
    context.log().log(
        EventKind.REQUEST_FAILED,
        "refused",
        "request",
        requestId,
        "code",
        code,
        "reason",
        reason,
        "configuration",
        context.catalog().version(),
        "ages",
        context.mirrorAges());
    write(context.dialect().failure(code, reason, state, lastCommitted));
  }
}
