package org.toucanmast.runtime.session;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.core.statement.TransactionState;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;

/** Writes a session's answers to its caller, and a log line for each that matters. */
final class SessionWriter {
  private final SessionContext context;
  private final NetSocket socket;
  private boolean stopped;

  SessionWriter(SessionContext context, NetSocket socket) {
    this.context = context;
    this.socket = socket;
  }

  /** Writes bytes; reads no more while the caller does not take them. */
  void write(Buffer bytes) {
    if (stopped) {
      return;
    }
    socket.write(bytes);
    if (socket.writeQueueFull()) {
      socket.pause();
      socket.drainHandler(drained -> socket.resume());
    }
  }

  /** Writes bytes and closes the connection behind them. */
  void writeLast(Buffer bytes) {
    if (!stopped) {
      socket.write(bytes).onComplete(done -> socket.close());
    }
  }

  /** Writes nothing more. */
  void stop() {
    stopped = true;
  }

  /** Writes a statement's result. */
  void answer(
      StatementRequest request,
      StatementResult result,
      long milliseconds,
      TransactionState state,
      Position seen) {
    context.metrics().onResult(request.customer(), request.kind(), result.code(), milliseconds);
    if (result.isSuccess()) {
      logSuccess(request, milliseconds);
      write(context.dialect().success(result.rows(), result.text(), state, result.position()));
    } else {
      logFailure(request, result, milliseconds);
      write(context.dialect().failure(result.code(), result.text(), state, seen));
    }
  }

  private void logSuccess(StatementRequest request, long milliseconds) {
    if (milliseconds >= EventLog.SLOW_THRESHOLD_IN_MILLISECONDS) {
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
          milliseconds,
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
        milliseconds);
  }

  private void logFailure(StatementRequest request, StatementResult result, long milliseconds) {
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
        milliseconds,
        "configuration",
        context.catalog().version());
  }

  /** Writes that a statement was refused before it was sent anywhere. */
  void refuse(
      String requestId, ResultCode code, String reason, TransactionState state, Position seen) {
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
        context.catalog().version());
    write(context.dialect().failure(code, reason, state, seen));
  }
}
