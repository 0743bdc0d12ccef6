package org.toucanmast.standin.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.standin.load.HistoryEntry.Action;
import org.toucanmast.standin.load.Violation.Promise;

class HistoryCheckerTest {
  private static final Map<String, Allowance> ALLOWANCES = Map.of("c", new Allowance(1, 2));
  private final List<HistoryEntry> history = new ArrayList<>();

  private void add(Action action, String id, long at, String outcome, String code, String row) {
    history.add(
        new HistoryEntry(
            "c", "s", "d", action, id, "k", at, at, at + 1, outcome, code, false, true, row, "v"));
  }

  private List<Promise> brokenPromises() {
    return HistoryChecker.check(history, ALLOWANCES).stream().map(Violation::promise).toList();
  }

  @Test
  void should_report_more_requests_in_a_window_than_burst_and_rate_allow() {
    add(Action.READ, "1", 0, "ran", "", "");
    add(Action.READ, "2", 1, "ran", "", "");
    add(Action.READ, "3", 2, "unknown", "outcome-unknown", "");

    assertThat(brokenPromises()).containsExactly(Promise.ALLOWANCE);
  }

  @Test
  void should_not_count_a_request_that_no_vm_answered() {
    add(Action.READ, "1", 0, "ran", "", "");
    add(Action.READ, "2", 1, "ran", "", "");
    add(Action.READ, "3", 2, "unknown", "no-answer", "");

    assertThat(brokenPromises()).isEmpty();
  }

  @Test
  void should_count_an_unanswered_write_that_a_final_read_returns() {
    add(Action.READ, "1", 0, "ran", "", "");
    add(Action.READ, "2", 1, "ran", "", "");
    add(Action.APPEND, "k.3", 2, "unknown", "no-answer", "");
    add(Action.FINAL_READ, "4", 9, "ran", "", "k.3");

    assertThat(brokenPromises()).containsExactly(Promise.ALLOWANCE);
  }

  @Test
  void should_report_a_lost_write_a_duplicate_write_and_a_stale_read() {
    add(Action.APPEND, "k.1", 0, "ran", "", "");
    add(Action.READ, "2", 10_000_000, "ran", "", "k.0,k.0");
    add(Action.FINAL_READ, "3", 20_000_000, "ran", "", "");

    assertThat(brokenPromises())
        .containsExactlyInAnyOrder(
            Promise.AT_MOST_ONCE, Promise.READ_YOUR_WRITES, Promise.ACKNOWLEDGED_IS_KEPT);
  }
}
