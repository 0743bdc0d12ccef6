package org.toucanmast.runtime.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.toucanmast.schema.FleetFrame;

/** Splits the bytes of a link into frames, each preceded by its length in four bytes. */
final class FrameReader {
  private static final int LENGTH_PREFIX_IN_BYTES = 4;

  /** Larger than any configuration document; a greater length means a corrupt stream. */
  private static final int MAXIMUM_FRAME_IN_BYTES = 8 * 1024 * 1024;

  private Buffer pending = Buffer.buffer();

  /**
   * Adds received bytes and returns the frames that are complete.
   *
   * @throws InvalidProtocolBufferException if a frame is too long or cannot be parsed
   */
  List<FleetFrame> feed(Buffer bytes) throws InvalidProtocolBufferException {
    if (pending.length() == 0) {
      pending = bytes;
    } else {
      pending = pending.copy().appendBuffer(bytes);
    }
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
    pending = start == 0 ? pending : pending.getBuffer(start, pending.length());
    return frames;
  }

  /** Encodes a frame with its length prefix. */
  static Buffer encode(FleetFrame frame) {
    byte[] body = frame.toByteArray();
    return Buffer.buffer(LENGTH_PREFIX_IN_BYTES + body.length)
        .appendInt(body.length)
        .appendBytes(body);
  }
}
