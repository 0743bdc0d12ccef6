package org.toucanmast.core.stop;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.statement.Access;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.Statement;
import org.toucanmast.core.statement.TransactionState;

class StopScheduleTest {
  private static final Statement BEGIN = new Statement.Begin(false);
  private static final Statement WRITE = new Statement.Run(Access.WRITE, "WRITE x y");
  private static final Statement COMMIT = new Statement.Commit("COMMIT");
  private static final Statement ROLLBACK = new Statement.Rollback();
  private static final long BEGAN_AT = 1_000;
  private static final long GRACE = 6_000;

  private final StopSchedule schedule = new StopSchedule(BEGAN_AT, GRACE);

  @Test
  void should_let_open_transactions_go_on_for_half_of_the_grace_period() {
    StopPhase phase = schedule.phaseAt(BEGAN_AT + GRACE / 2 - 1);

    assertThat(phase.refusalOf(WRITE, TransactionState.OPEN)).isEmpty();
    assertThat(schedule.phaseAt(BEGAN_AT + GRACE / 2).refusalOf(WRITE, TransactionState.OPEN))
        .contains(ResultCode.ABORTED);
  }

  @Test
  void should_let_transactions_commit_while_there_is_time_for_the_answer() {
    assertThat(schedule.phaseAt(BEGAN_AT + GRACE / 2).refusalOf(COMMIT, TransactionState.OPEN))
        .isEmpty();
    assertThat(schedule.phaseAt(BEGAN_AT + GRACE * 3 / 4).refusalOf(COMMIT, TransactionState.OPEN))
        .contains(ResultCode.ABORTED);
    assertThat(
            schedule.phaseAt(BEGAN_AT + GRACE * 3 / 4).refusalOf(ROLLBACK, TransactionState.OPEN))
        .isEmpty();
  }

  @Test
  void should_refuse_what_begins_after_half_of_the_grace_period() {
    StopPhase phase = schedule.phaseAt(BEGAN_AT + GRACE / 2);

    for (Statement statement : List.of(BEGIN, WRITE)) {
      assertThat(phase.refusalOf(statement, TransactionState.NONE)).contains(ResultCode.BUSY);
    }
  }

  @Test
  void should_serve_new_sessions_until_the_load_balancer_has_noticed_the_stop() {
    assertThat(schedule.phaseAt(BEGAN_AT + 2_299)).isEqualTo(StopPhase.ANNOUNCED);
    assertThat(schedule.phaseAt(BEGAN_AT + 2_300)).isEqualTo(StopPhase.CLOSING);
  }

  @Test
  void should_leave_failed_transactions_to_their_sessions() {
    for (StopPhase phase : StopPhase.values()) {
      assertThat(phase.refusalOf(ROLLBACK, TransactionState.FAILED)).as("%s", phase).isEmpty();
    }
  }

  @Test
  void should_reject_a_negative_grace_period() {
    assertThatIllegalArgumentException()
        .isThrownBy(() -> new StopSchedule(0, -1))
        .withMessageContaining("-1 ms");
  }

  /** A statement without a deadline before the answers would be running when the process ends. */
  @Property(tries = 500, seed = "20261207")
  void should_end_every_accepted_statement_before_the_answers_are_due(
      @ForAll @LongRange(min = 1, max = 60_000) long grace,
      @ForAll @IntRange(max = 1_000) int permille) {
    StopSchedule any = new StopSchedule(BEGAN_AT, grace);
    long now = BEGAN_AT + grace * permille / 1_000;
    StopPhase phase = any.phaseAt(now);
    for (Statement statement : List.of(BEGIN, WRITE, COMMIT)) {
      for (TransactionState state : List.of(TransactionState.NONE, TransactionState.OPEN)) {
        Optional<ResultCode> refusal = phase.refusalOf(statement, state);
        if (refusal.isEmpty()) {
          long time = any.timeForStatement(now);
          StopPhase phaseAtEnd = any.phaseAt(now + time);
          assertThat(time == 0 || phaseAtEnd != StopPhase.ANSWERING).isTrue();
        } else {
          assertThat(refusal.get().guaranteesNoEffect()).isTrue();
        }
      }
    }
    assertThat(any.exitAt()).isLessThanOrEqualTo(BEGAN_AT + grace);
  }

  @Property(tries = 500, seed = "20261207")
  void should_never_return_to_an_earlier_phase(
      @ForAll @LongRange(max = 60_000) long grace,
      @ForAll @LongRange(max = 70_000) long first,
      @ForAll @LongRange(max = 70_000) long second) {
    StopSchedule any = new StopSchedule(BEGAN_AT, grace);
    long earlier = BEGAN_AT + Math.min(first, second);
    long later = BEGAN_AT + Math.max(first, second);

    assertThat(any.phaseAt(earlier)).isLessThanOrEqualTo(any.phaseAt(later));
  }
}
