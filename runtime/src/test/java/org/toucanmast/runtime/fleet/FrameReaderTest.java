package org.toucanmast.runtime.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.Access;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.schema.FleetFrame;
import org.toucanmast.schema.FleetHello;
import org.toucanmast.schema.StatementAnswer;

class FrameReaderTest {
  private static FleetFrame frame(int number) {
    return FleetFrame.newBuilder()
        .setHello(FleetHello.newBuilder().setVm("vm-" + number).setIncarnation(number))
        .build();
  }

  @Test
  void should_decode_frames_from_chunks_of_any_size() throws InvalidProtocolBufferException {
    Random random = new Random(20261204);
    Buffer all = Buffer.buffer();
    List<FleetFrame> sent = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      sent.add(frame(i));
      all.appendBuffer(FrameWriter.encode(frame(i)).orElseThrow());
    }
    FrameReader reader = new FrameReader();
    List<FleetFrame> read = new ArrayList<>();
    for (int start = 0; start < all.length(); ) {
      int end = Math.min(all.length(), start + 1 + random.nextInt(40));
      read.addAll(reader.feed(all.getBuffer(start, end)));
      start = end;
    }

    assertThat(read).isEqualTo(sent);
  }

  /** Each piece copied all that was received before, and the event loop stood still meanwhile. */
  @Test
  @Timeout(10)
  void should_read_a_large_frame_in_time_that_grows_with_its_length()
      throws InvalidProtocolBufferException {
    int length = FrameReader.MAXIMUM_FRAME_IN_BYTES - 100;
    FleetFrame sent =
        FleetFrame.newBuilder()
            .setAnswer(StatementAnswer.newBuilder().setText("x".repeat(length)))
            .build();
    Buffer all = FrameWriter.encode(sent).orElseThrow();
    FrameReader reader = new FrameReader();
    List<FleetFrame> read = new ArrayList<>();
    int piece = 256;
    for (int start = 0; start < all.length(); start += piece) {
      read.addAll(reader.feed(all.getBuffer(start, Math.min(all.length(), start + piece))));
    }

    assertThat(read).containsExactly(sent);
  }

  @Test
  void should_reject_a_frame_longer_than_the_maximum() {
    assertThatThrownBy(() -> new FrameReader().feed(Buffer.buffer().appendInt(Integer.MAX_VALUE)))
        .isInstanceOf(InvalidProtocolBufferException.class);
  }

  @Test
  void should_convert_a_statement_and_its_result_to_messages_and_back() {
    StatementRequest request =
        new StatementRequest(
            "id",
            "group",
            new KeyClaim<>(KeyFingerprint.of("key"), "customer", true, 7),
            Operation.TRANSACTION_WRITE,
            "item data",
            Optional.of(new PreparedShape(Access.WRITE, "q")),
            Map.of("a", "b"),
            RouteKind.READ_YOUR_WRITES,
            2_500,
            new Position(3, 7),
            9,
            false,
            2,
            800,
            OptionalLong.of(-15),
            true);
    StatementResult result =
        new StatementResult(
            ResultCode.IN_DOUBT, List.of("row"), "signature", new Position(3, 8), 9);

    assertThat(StatementMessages.toRequest(StatementMessages.toCall(1, request)))
        .isEqualTo(request);
    assertThat(StatementMessages.toResult(StatementMessages.toAnswer(1, result))).isEqualTo(result);
  }
}
