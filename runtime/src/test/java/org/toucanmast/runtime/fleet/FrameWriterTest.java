package org.toucanmast.runtime.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.schema.FleetFrame;
import org.toucanmast.schema.MirrorObject;
import org.toucanmast.schema.MirrorPush;
import org.toucanmast.schema.StatementAnswer;
import org.toucanmast.schema.TokenCount;
import org.toucanmast.schema.UsageTotals;
import org.toucanmast.schema.UsageWindowTotals;

/** Guards against frames that the receiver refuses, which ends the statements of all callers. */
class FrameWriterTest {
  private static final long CALL_ID = 7;
  private static final String LARGE = "\u00fc".repeat(3_000_000);
  private static final List<String> LARGE_ROWS = Collections.nCopies(2, LARGE);

  private static StatementRequest request(Operation operation) {
    return Statements.request(operation, "text");
  }

  private static StatementAnswer answer(Operation operation, ResultCode code) {
    StatementResult result =
        new StatementResult(code, LARGE_ROWS, "signature", new Position(1, 2), 5);
    FleetFrame frame = FrameWriter.answer(CALL_ID, request(operation), result);
    assertThat(FrameWriter.encode(frame)).isPresent();
    return frame.getAnswer();
  }

  @ParameterizedTest
  @CsvSource({
    "READ, SUCCESS, FAILED",
    "TRANSACTION_READ, SUCCESS, FAILED",
    "TRANSACTION_WRITE, SUCCESS, FAILED",
    "WRITE, SUCCESS, IN_DOUBT",
    "COMMIT, SUCCESS, IN_DOUBT",
    "WRITE, READ_ONLY, READ_ONLY",
    "COMMIT, ABORTED, ABORTED",
  })
  void should_answer_only_the_statement_whose_rows_are_too_long(
      Operation operation, ResultCode code, ResultCode answered) {
    StatementAnswer answer = answer(operation, code);

    assertThat(answer.getCallId()).isEqualTo(CALL_ID);
    assertThat(ResultCode.values()[answer.getCode()]).isEqualTo(answered);
    assertThat(answer.getRowsList()).isEmpty();
    assertThat(answer.getTransaction()).isEqualTo(StatementRequest.NO_TRANSACTION);
  }

  @Test
  void should_not_encode_a_frame_that_the_receiver_refuses() {
    MirrorPush content =
        MirrorPush.newBuilder()
            .setKind("servers")
            .addObjects(MirrorObject.newBuilder().setName("a").setContent(LARGE))
            .addObjects(MirrorObject.newBuilder().setName("b").setContent(LARGE))
            .build();

    assertThat(FrameWriter.encode(FleetFrame.newBuilder().setMirrorPush(content).build()))
        .isEmpty();
    assertThat(FrameWriter.mirrorPush(content).getMirrorPush())
        .isEqualTo(MirrorPush.newBuilder().setKind("servers").build());
  }

  @Test
  void should_send_totals_that_are_too_long_for_a_frame_window_by_window() {
    TokenCount count = TokenCount.newBuilder().setCustomer(LARGE).build();
    UsageTotals totals =
        UsageTotals.newBuilder()
            .setVm("vm")
            .setIncarnation(3)
            .addWindows(UsageWindowTotals.newBuilder().setWindow(1).addCounts(count))
            .addWindows(UsageWindowTotals.newBuilder().setWindow(2).addCounts(count))
            .build();

    List<FleetFrame> frames = FrameWriter.usageTotals(totals);

    assertThat(frames).hasSize(2).allMatch(FrameWriter::isSendable);
    assertThat(frames)
        .allSatisfy(frame -> assertThat(frame.getUsageTotals().getIncarnation()).isEqualTo(3))
        .extracting(frame -> frame.getUsageTotals().getWindows(0).getWindow())
        .containsExactly(1L, 2L);
  }
}
