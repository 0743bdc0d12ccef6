package org.toucanmast.runtime.fleet;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.Optional;
import org.toucanmast.core.link.OutputBudget;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.schema.FleetFrame;
import org.toucanmast.schema.MirrorPush;

/** What is sent on one connection between VMs, within the budget of the VM. */
final class LinkOutput {
  /** The reason of a result that stands for one that the budget does not admit. */
  static final String FULL = "too much waits to be sent between VMs";

  private final NetSocket socket;
  private final OutputBudget budget;
  private final EventLog log;
  private Future<Void> lastWrite = Future.succeededFuture();
  private long pendingBytes;

  LinkOutput(NetSocket socket, OutputBudget budget, EventLog log) {
    this.socket = socket;
    this.budget = budget;
    this.log = log;
  }

  /** Returns whether the budget admits a frame now. */
  boolean admits(FleetFrame frame) {
    return budget.admits(frame.getSerializedSize(), pendingBytes);
  }

  /** Writes a frame, unless the receiver would refuse it. */
  void write(FleetFrame frame) {
    Optional<Buffer> encoded = FrameWriter.encode(frame);
    if (encoded.isEmpty()) {
      log.log(EventKind.PROTOCOL, "frame too long", "body", frame.getBodyCase());
      return;
    }
    long length = encoded.get().length();
    pendingBytes += length;
    budget.onWritten(length);
    lastWrite = socket.write(encoded.get());
    lastWrite.onComplete(
        done -> {
          pendingBytes -= length;
          budget.onSent(length);
        });
  }

  /** Writes the content of a mirror. One that is not admitted is requested again by the peer. */
  void writeMirror(MirrorPush content) {
    FleetFrame frame = FrameWriter.mirrorPush(content);
    if (admits(frame)) {
      write(frame);
    } else {
      logNotAdmitted("mirror not passed on", frame, "objects", content.getKind());
    }
  }

  /**
   * Returns the frame with the answer to a statement. A result that is not admitted is replaced by
   * a failure, as one that is too long for any link.
   */
  FleetFrame answer(long callId, StatementRequest request, StatementResult result) {
    FleetFrame whole = FrameWriter.answer(callId, request, result);
    if (admits(whole)) {
      return whole;
    }
    logNotAdmitted("result not passed on", whole, "request", request.requestId());
    return FrameWriter.answer(callId, request, result.withoutRows(request.operation(), FULL));
  }

  private void logNotAdmitted(String event, FleetFrame frame, String name, String value) {
    log.log(
        EventKind.PROTOCOL,
        event,
        name,
        value,
        "bytes",
        frame.getSerializedSize(),
        "waiting_on_link",
        pendingBytes,
        "waiting",
        budget.pendingBytes());
  }

  /** Completes when everything that was written has been sent. */
  Future<Void> lastWrite() {
    return lastWrite;
  }
}
