package org.toucanmast.runtime.fleet;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.schema.FleetFrame;
import org.toucanmast.schema.MirrorPush;
import org.toucanmast.schema.UsageTotals;

/**
 * Encodes the frames of a link. No frame is longer than {@link FrameReader} accepts: the receiver
 * would close the link, and with it the statements of all callers. What may be longer is split or
 * replaced here.
 */
final class FrameWriter {
  /** The reason of a result that stands for a statement or an answer that was not sent. */
  static final String TOO_LONG = "too long for the link between VMs";

  /** The id in place of a call's if nobody waits for the answer. */
  private static final long NO_CALL = 0;

  private FrameWriter() {}

  /** Returns whether the receiver accepts a frame. */
  static boolean isSendable(FleetFrame frame) {
    return frame.getSerializedSize() <= FrameReader.MAXIMUM_FRAME_IN_BYTES;
  }

  /** Encodes a frame with its length prefix; empty if the receiver would refuse it. */
  static Optional<Buffer> encode(FleetFrame frame) {
    if (!isSendable(frame)) {
      return Optional.empty();
    }
    byte[] body = frame.toByteArray();
    return Optional.of(
        Buffer.buffer(FrameReader.LENGTH_PREFIX_IN_BYTES + body.length)
            .appendInt(body.length)
            .appendBytes(body));
  }

  /** Returns the frame that sends a statement. */
  static FleetFrame call(long callId, StatementRequest request) {
    return FleetFrame.newBuilder().setCall(StatementMessages.toCall(callId, request)).build();
  }

  /** Returns the frame that rolls back the transaction of a statement. */
  static FleetFrame rollback(StatementRequest request) {
    return call(NO_CALL, request.rollbackOf(request.transaction()));
  }

  /**
   * Returns the answer to a statement. Without its rows a success is no success for the caller: the
   * result is then a failure, which leaves the effect of a write open.
   */
  static FleetFrame answer(long callId, StatementRequest request, StatementResult result) {
    FleetFrame whole = answer(callId, result);
    return isSendable(whole)
        ? whole
        : answer(callId, result.withoutRows(request.operation(), TOO_LONG));
  }

  private static FleetFrame answer(long callId, StatementResult result) {
    return FleetFrame.newBuilder().setAnswer(StatementMessages.toAnswer(callId, result)).build();
  }

  /**
   * Returns the content of a mirror; no content if it is too long. The receiver then learns its age
   * from nobody, and watches the store itself.
   */
  static FleetFrame mirrorPush(MirrorPush content) {
    FleetFrame whole = FleetFrame.newBuilder().setMirrorPush(content).build();
    return isSendable(whole)
        ? whole
        : FleetFrame.newBuilder()
            .setMirrorPush(MirrorPush.newBuilder().setKind(content.getKind()))
            .build();
  }

  /** Returns frames with the totals, one for each window if they are too long for one frame. */
  static List<FleetFrame> usageTotals(UsageTotals totals) {
    FleetFrame whole = FleetFrame.newBuilder().setUsageTotals(totals).build();
    if (isSendable(whole)) {
      return List.of(whole);
    }
    return totals.getWindowsList().stream()
        .map(
            window ->
                FleetFrame.newBuilder()
                    .setUsageTotals(totals.toBuilder().clearWindows().addWindows(window))
                    .build())
        .toList();
  }
}
