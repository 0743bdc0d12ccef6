package org.toucanmast.cli.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.toucanmast.core.access.KeyClaim;

class ExplanationTest {
  private static final String CONFIGURATION =
      "{\"time\":1000,\"vm\":\"vm-1\",\"kind\":\"CONFIGURATION\",\"event\":\"configuration in"
          + " force\",\"version\":3}";
  private static final String LEADER =
      "{\"time\":4000,\"vm\":\"vm-2\",\"kind\":\"LEADER\",\"event\":\"leader\",\"group\":\"g\","
          + "\"endpoint\":\"none\",\"term\":4}";
  private static final String OTHER_LEADER =
      "{\"time\":4000,\"vm\":\"vm-2\",\"kind\":\"LEADER\",\"event\":\"leader\",\"group\":\"h\","
          + "\"endpoint\":\"i-9\",\"term\":1}";
  private static final String AT_GATEWAY =
      "{\"time\":5010,\"vm\":\"vm-2\",\"kind\":\"REQUEST_AT_GATEWAY\",\"event\":\"failed at"
          + " gateway\",\"request\":\"r1\",\"group\":\"g\",\"code\":\"BUSY\",\"attempts\":0,"
          + "\"without_leader\":900}";
  private static final String FAILED =
      "{\"time\":5000,\"vm\":\"vm-1\",\"kind\":\"REQUEST_FAILED\",\"event\":\"failed\","
          + "\"request\":\"r1\",\"group\":\"g\",\"code\":\"BUSY\",\"reason\":\"expected wait"
          + " exceeds the time left\",\"configuration\":3}";

  @TempDir private Path directory;

  private LogFiles logs(String... lines) throws IOException {
    Path file = Files.writeString(directory.resolve("vm.log"), String.join("\n", lines));
    return LogFiles.read(List.of(file));
  }

  private Explanation explain(String... lines) throws IOException {
    return Explanation.of("r1", logs(lines)).orElseThrow();
  }

  private static String outcome(String kind, String fields) {
    return "{\"time\":5000,\"vm\":\"vm-1\",\"kind\":\""
        + kind
        + "\",\"event\":\"x\",\"request\":\"r1\","
        + fields
        + "}";
  }

  @Test
  void should_report_missing_primary_as_cause_of_expected_wait() throws IOException {
    Explanation explanation = explain(CONFIGURATION, LEADER, FAILED, AT_GATEWAY);

    assertThat(explanation.cause()).contains(Cause.NO_PRIMARY);
  }

  @Test
  void should_report_a_key_that_moved_as_the_cause() throws IOException {
    String fields = "\"code\":\"ABORTED\",\"reason\":\"" + KeyClaim.NOT_HELD + "; rolled back\"";

    Explanation explanation = explain(CONFIGURATION, outcome("REQUEST_FAILED", fields));

    assertThat(explanation.cause()).contains(Cause.KEY_MOVED);
  }

  @Test
  void should_put_outcome_last_when_clock_of_its_vm_is_behind() throws IOException {
    Explanation explanation = explain(FAILED, AT_GATEWAY);

    assertThat(explanation.lines())
        .extracting(LogLine::kind)
        .containsExactly("REQUEST_AT_GATEWAY", "REQUEST_FAILED");
  }

  @Test
  void should_report_known_state_of_vms_that_handled_request() throws IOException {
    Explanation explanation = explain(CONFIGURATION, LEADER, OTHER_LEADER, FAILED, AT_GATEWAY);

    assertThat(explanation.knownState())
        .extracting(LogLine::details)
        .containsExactly("version 3", "endpoint none, group g, term 4");
  }

  @Test
  void should_report_related_events_of_same_group_only() throws IOException {
    Explanation explanation = explain(LEADER, OTHER_LEADER, FAILED, AT_GATEWAY);

    assertThat(explanation.relatedEvents())
        .extracting(line -> line.field("group"))
        .containsExactly("g");
  }

  @Test
  void should_name_the_stop_of_a_vm_as_cause() throws IOException {
    String fields = "\"code\":\"ABORTED\",\"reason\":\"the VM is stopping\"";

    assertThat(explain(outcome("REQUEST_FAILED", fields)).cause()).contains(Cause.VM_STOPPED);
  }

  @Test
  void should_distinguish_used_up_allowance_from_silent_holder() throws IOException {
    assertThat(
            explain(
                    outcome(
                        "REQUEST_FAILED",
                        "\"code\":\"BUSY\",\"reason\":\"the allowance of customer c is used up\""))
                .cause())
        .contains(Cause.ALLOWANCE_USED_UP);
    assertThat(
            explain(
                    outcome(
                        "REQUEST_FAILED",
                        "\"code\":\"BUSY\",\"reason\":\"the allowance of customer c is not known,"
                            + " its keeper is silent\""))
                .cause())
        .contains(Cause.KEEPER_SILENT);
  }

  @Test
  void should_distinguish_queueing_from_execution_and_link_in_slow_request() throws IOException {
    String slow = outcome("REQUEST_SLOW", "\"milliseconds\":900");
    String waited = AT_GATEWAY.replace("\"without_leader\":900", "\"waited\":800,\"ran\":90");
    String ran = AT_GATEWAY.replace("\"without_leader\":900", "\"waited\":5,\"ran\":880");

    assertThat(explain(slow, waited).cause()).contains(Cause.WAITED);
    assertThat(explain(slow, ran).cause()).contains(Cause.ENDPOINT_SLOW);
    assertThat(explain(slow).cause()).contains(Cause.LINK_SLOW);
  }

  @Test
  void should_return_empty_when_no_line_has_request_id() throws IOException {
    assertThat(Explanation.of("r2", logs(FAILED))).isEmpty();
  }

  @Test
  void should_report_no_cause_when_lines_match_none() throws IOException {
    Explanation explanation =
        explain(outcome("REQUEST_FAILED", "\"code\":\"FAILED\",\"reason\":\"disk full\""));

    assertThat(explanation.cause()).isEmpty();
  }

  @Test
  void should_count_malformed_and_truncated_lines_and_read_others() throws IOException {
    LogFiles logs =
        logs(
            FAILED.substring(0, 60),
            "not a line",
            "",
            "{\"time\":\"now\",\"vm\":\"vm-1\",\"kind\":\"LEADER\",\"event\":\"x\"}",
            "  35.22 vm-1 " + FAILED);

    assertThat(logs.unreadableLines()).isEqualTo(3);
    assertThat(logs.lines()).hasSize(1);
  }

  @Test
  void should_continue_after_bytes_that_are_not_valid_utf_8() throws IOException {
    Path file = directory.resolve("broken.log");
    Files.write(file, new byte[] {(byte) 0xc3, (byte) 0x28, '\n'});
    Files.writeString(file, FAILED, StandardOpenOption.APPEND);

    assertThat(LogFiles.read(List.of(file)).lines()).hasSize(1);
  }
}
