package org.toucanmast.core.usage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.core.statement.StatementRequest;

/** Guards against requests that are counted twice, in a wrong window, or lost with a holder. */
class UsageCountsTest {
  private static final UsageTiming TIMING = new UsageTiming(5_000, 10_000, 3_000);
  private static final long WINDOW = 340_000_000L;
  private static final long START = WINDOW * 5_000;

  private final UsageCounts counts = new UsageCounts(TIMING);
  private final FleetTotals totals = new FleetTotals(TIMING);

  private List<WindowTotals> at(String holder, long time) {
    return counts.unconfirmed(holder, time, false);
  }

  @Test
  void should_count_by_window_at_its_edges() {
    counts.onStarted("c", START - 1);
    counts.onStarted("c", START);
    counts.onStarted("c", START + 4_999);
    counts.onStarted("c", START + 5_000);

    assertThat(at("h", START + 5_000))
        .extracting(WindowTotals::window, WindowTotals::counts)
        .containsExactly(
            tuple(WINDOW - 1, Map.of("c", 1)),
            tuple(WINDOW, Map.of("c", 2)),
            tuple(WINDOW + 1, Map.of("c", 1)));
  }

  @Test
  void should_take_back_a_statement_that_the_endpoint_turned_away() {
    long window = counts.onStarted("c", START);
    counts.onStarted("c", START + 1);
    counts.onTurnedAway("c", window);

    assertThat(at("h", START + 10).get(0).counts()).isEqualTo(Map.of("c", 1));
  }

  @Test
  void should_send_confirmed_totals_again_to_a_new_holder() {
    counts.onStarted("c", START);
    assertThat(at("h", START + 6_000)).singleElement().matches(WindowTotals::complete);
    counts.onConfirmed("h", List.of(WINDOW));

    assertThat(at("h", START + 6_100)).isEmpty();
    assertThat(at("next", START + 6_200)).hasSize(1);
    counts.onConfirmed("h", List.of(WINDOW));
    assertThat(at("next", START + 6_300)).hasSize(1);
  }

  @Test
  void should_forget_totals_whose_report_is_overdue() {
    counts.onStarted("c", START);

    assertThat(at("h", START + 15_001)).isEmpty();
  }

  @Test
  void should_add_the_totals_of_a_restarted_vm_and_replace_those_of_the_same_run() {
    totals.onTotals("a", 1, new WindowTotals(WINDOW, Map.of("c", 5), false), START + 1_000);
    totals.onTotals("a", 1, new WindowTotals(WINDOW, Map.of("c", 7), false), START + 2_000);
    totals.onTotals("a", 2, new WindowTotals(WINDOW, Map.of("c", 2), true), START + 5_500);

    assertThat(totals.counts(WINDOW)).isEqualTo(Map.of("c", 9));
    assertThat(totals.isComplete(WINDOW)).isFalse();
    assertThat(totals.incompleteVms(WINDOW)).containsExactly("a");
  }

  @Test
  void should_ignore_totals_of_windows_far_in_the_future_or_overdue() {
    totals.onTotals("a", 1, new WindowTotals(WINDOW + 3, Map.of("c", 5), true), START);
    totals.onTotals("a", 1, new WindowTotals(WINDOW - 3, Map.of("c", 5), true), START + 5_001);

    assertThat(totals.counts(WINDOW + 3)).isEmpty();
    assertThat(totals.counts(WINDOW - 3)).isEmpty();
  }

  @Test
  void should_count_a_transaction_once_or_by_statement_as_configured() {
    StatementRequest first = request(Operation.TRANSACTION_READ, StatementRequest.NO_TRANSACTION);
    StatementRequest commit = request(Operation.COMMIT, 7);
    StatementRequest read = request(Operation.READ, StatementRequest.NO_TRANSACTION);

    assertThat(List.of(first, commit, read)).allMatch(CountingRule.EACH_STATEMENT::counts);
    assertThat(List.of(first, read)).allMatch(CountingRule.EACH_OPERATION::counts);
    assertThat(CountingRule.EACH_OPERATION.counts(commit)).isFalse();
  }

  @Test
  void should_take_a_statement_for_begun_unless_the_reply_excludes_it() {
    assertThat(CountingRule.hasBegun(ResultCode.BUSY)).isFalse();
    assertThat(CountingRule.hasBegun(ResultCode.LAGGING)).isFalse();
    assertThat(CountingRule.hasBegun(ResultCode.ABORTED)).isTrue();
    assertThat(CountingRule.hasBegun(ResultCode.FAILED)).isTrue();
  }

  private static StatementRequest request(Operation operation, long transaction) {
    return new StatementRequest(
        "id",
        "group",
        new KeyClaim<>(KeyFingerprint.of("key"), "c", false, 1),
        operation,
        "x",
        Optional.empty(),
        Map.of(),
        RouteKind.values()[0],
        0,
        Position.NONE,
        transaction,
        false,
        0,
        1_000,
        OptionalLong.empty(),
        false);
  }
}
