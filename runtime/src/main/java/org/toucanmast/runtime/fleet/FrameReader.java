package org.toucanmast.runtime.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.toucanmast.schema.FleetFrame;

/** Cuts the bytes of a link into frames; each frame follows its length in four bytes. */
final class FrameReader {
  private static final int LENGTH_BYTES = 4;

  /** Larger than any configuration document; a longer frame is a broken link. */
  private static final int LONGEST_FRAME_IN_BYTES = 8 * 1024 * 1024;

  private Buffer pending = Buffer.buffer();

  /**
   * Takes bytes and returns whole frames.
   *
   * @throws InvalidProtocolBufferException when the bytes are no frame
   */
  List<FleetFrame> feed(Buffer bytes) throws InvalidProtocolBufferException {
    if (pending.length() == 0) {
      pending = bytes;
    } else {
      pending = pending.copy().appendBuffer(bytes);
    }
    List<FleetFrame> frames = new ArrayList<>();
    int start = 0;
    while (pending.length() - start >= LENGTH_BYTES) {
      int length = pending.getInt(start);
      if (length < 0 || length > LONGEST_FRAME_IN_BYTES) {
        throw new InvalidProtocolBufferException("frame of " + length + " bytes");
      }
      int end = start + LENGTH_BYTES + length;
      if (pending.length() < end) {
        break;
      }
      frames.add(FleetFrame.parseFrom(pending.getBytes(start + LENGTH_BYTES, end)));
      start = end;
    }
    pending = start == 0 ? pending : pending.getBuffer(start, pending.length());
    return frames;
  }

  /** Encodes a frame. */
  static Buffer encode(FleetFrame frame) {
    byte[] body = frame.toByteArray();
    return Buffer.buffer(LENGTH_BYTES + body.length).appendInt(body.length).appendBytes(body);
  }
}
