package org.toucanmast.runtime.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.toucanmast.schema.FleetFrame;

/** Splits the bytes of a link into frames, each preceded by its length in four bytes. */
final class FrameReader {
  static final int LENGTH_PREFIX_IN_BYTES = 4;

  /** Larger than any configuration document; a greater length means a corrupt stream. */
  static final int MAXIMUM_FRAME_IN_BYTES = 8 * 1024 * 1024;

  private Buffer pending = Buffer.buffer();
  private boolean ownsPending;

  /**
   * Adds received bytes and returns the frames that are complete.
   *
   * @throws InvalidProtocolBufferException if a frame is too long or cannot be parsed
   */
  List<FleetFrame> feed(Buffer bytes) throws InvalidProtocolBufferException {
    append(bytes);
    List<FleetFrame> frames = new ArrayList<>();
    int start = 0;
    while (pending.length() - start >= LENGTH_PREFIX_IN_BYTES) {
      int length = pending.getInt(start);
      if (length < 0 || length > MAXIMUM_FRAME_IN_BYTES) {
        throw new InvalidProtocolBufferException("invalid frame length: " + length + " bytes");
      }
      int end = start + LENGTH_PREFIX_IN_BYTES + length;
      if (pending.length() < end) {
        break;
      }
      frames.add(FleetFrame.parseFrom(pending.getBytes(start + LENGTH_PREFIX_IN_BYTES, end)));
      start = end;
    }
    if (start > 0) {
      pending = pending.getBuffer(start, pending.length());
      ownsPending = true;
    }
    return frames;
  }

  /** Copies what was received before only once, so that a large frame costs its length. */
  private void append(Buffer bytes) {
    if (pending.length() == 0) {
      pending = bytes;
      ownsPending = false;
      return;
    }
    if (!ownsPending) {
      pending = pending.copy();
      ownsPending = true;
    }
    pending.appendBuffer(bytes);
  }
}
