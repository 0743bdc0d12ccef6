package org.toucanmast.core.stop;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.request.Outcome;
import org.toucanmast.core.request.Refusal;

class RequestStepTest {
  private static final long ASKED_AT = 5_000;
  private static final long ANNOUNCE_DELAY = 500;
  private static final long DEADLINE = 10_000;

  private final StopSchedule schedule =
      StopSchedule.afterAnnouncement(ASKED_AT, ANNOUNCE_DELAY, DEADLINE);

  private StopPhase phaseAfterAnnouncement(long milliseconds) {
    return schedule.phaseAt(ASKED_AT + ANNOUNCE_DELAY + milliseconds);
  }

  /** Guards against refusing callers that the load balancer still sends to this VM. */
  @Test
  void should_serve_all_requests_while_the_stop_is_announced() {
    for (RequestStep step : RequestStep.values()) {
      assertThat(step.refusalIn(schedule.phaseAt(ASKED_AT))).isEmpty();
      assertThat(step.refusalIn(phaseAfterAnnouncement(-1))).isEmpty();
    }
  }

  /** Guards against new work that would have to be ended at the deadline. */
  @Test
  void should_refuse_requests_outside_transactions_after_the_announcement() {
    assertThat(RequestStep.OUTSIDE_TRANSACTION.refusalIn(phaseAfterAnnouncement(0)))
        .contains(Refusal.STOPPING);
    assertThat(RequestStep.STATEMENTS.refusalIn(phaseAfterAnnouncement(0))).isEmpty();
  }

  /** Guards against transactions that go on until the process ends. */
  @Test
  void should_only_end_transactions_after_half_of_the_deadline() {
    StopPhase phase = phaseAfterAnnouncement(DEADLINE / 2);

    assertThat(RequestStep.STATEMENTS.refusalIn(phase)).contains(Refusal.ROLLED_BACK);
    assertThat(RequestStep.COMMIT.refusalIn(phase)).isEmpty();
    assertThat(RequestStep.ROLLBACK.refusalIn(phase)).isEmpty();
  }

  /** Guards against a refusal that leaves the caller in doubt about what was kept. */
  @Property(seed = "20261207")
  void should_promise_with_each_refusal_that_nothing_ran(
      @ForAll RequestStep step, @ForAll StopPhase phase) {
    assertThat(step.refusalIn(phase).map(Refusal::outcome).orElse(Outcome.NOT_RUN))
        .isEqualTo(Outcome.NOT_RUN);
  }

  /**
   * Guards against settings whose fractions leave no time to answer or overlap the announcement.
   */
  @Property(seed = "20261207")
  void should_end_all_work_between_the_announcement_and_the_deadline(
      @ForAll @LongRange(min = 0, max = 60_000) long announceDelay,
      @ForAll @LongRange(min = 100, max = 600_000) long deadline) {
    StopSchedule planned = StopSchedule.afterAnnouncement(ASKED_AT, announceDelay, deadline);
    long closingAt = ASKED_AT + announceDelay;

    assertThat(planned.phaseAt(closingAt)).isEqualTo(StopPhase.CLOSING);
    assertThat(planned.phaseAt(planned.exitAt())).isEqualTo(StopPhase.ANSWERING);
    assertThat(planned.exitAt()).isBetween(closingAt + 1, closingAt + deadline - 1);
    assertThat(planned.phaseAt(planned.exitAt()).sendsAcceptedWork()).isFalse();
  }
}
