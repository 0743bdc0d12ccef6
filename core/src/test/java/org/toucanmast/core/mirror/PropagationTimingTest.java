package org.toucanmast.core.mirror;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class PropagationTimingTest {
  /** Time for the retry's delay, its answer, and the check that finds it due. */
  private static final long RETRY_IN_MILLISECONDS = 200;

  /** Six hops of a fleet of 300 VMs, each with a collecting delay and a round trip. */
  private static final long HOPS_IN_MILLISECONDS = 6 * 40;

  /**
   * A watch that was sent at the end of a silence, or by a VM that was cut off just then, is
   * noticed as failed, repeated, and its changes are passed on within the limit.
   */
  @Property(seed = "20261204")
  void should_leave_time_to_repeat_a_watch_that_lost_its_answer(
      @ForAll @LongRange(min = 1_000, max = 20_000) long limit) {
    PropagationTiming timing = PropagationTiming.within(limit);

    assertThat(timing.watchTimeoutInMilliseconds() + RETRY_IN_MILLISECONDS + HOPS_IN_MILLISECONDS)
        .isLessThanOrEqualTo(limit);
  }

  /** All watchers fail at once; the other VMs know no more than what the last answers said. */
  @Property(seed = "20261204")
  void should_leave_time_to_ask_the_store_after_relying_on_peers(
      @ForAll @LongRange(min = 1_000, max = 20_000) long limit) {
    PropagationTiming timing = PropagationTiming.within(limit);

    assertThat(
            timing.maximumAgeInMilliseconds()
                + timing.spreadInMilliseconds()
                + RETRY_IN_MILLISECONDS)
        .isLessThanOrEqualTo(limit);
  }

  /** Otherwise VMs would watch although the watchers are well. */
  @Property(seed = "20261204")
  void should_rely_on_peers_for_longer_than_a_watch_waits(
      @ForAll @LongRange(min = 500, max = 20_000) long limit) {
    PropagationTiming timing = PropagationTiming.within(limit);

    assertThat(timing.maximumAgeInMilliseconds()).isGreaterThan(timing.watchWaitInMilliseconds());
  }

  @Test
  void should_take_the_recovery_as_limit_where_it_is_shorter_than_the_promise() {
    ChangePromises promises = new ChangePromises(3_000, 5_000, 10_000, 4_000);

    assertThat(promises.configurationTiming()).isEqualTo(PropagationTiming.within(3_000));
    assertThat(promises.takenOutTiming()).isEqualTo(PropagationTiming.within(4_000));
    assertThat(promises.drainingTiming()).isEqualTo(PropagationTiming.within(4_000));
  }

  @Test
  void should_end_the_grace_period_of_a_leaving_primary_before_the_shorter_promise() {
    assertThat(ChangePromises.DEFAULT.leavingPrimaryGraceInMilliseconds()).isEqualTo(4_000);
    assertThat(new ChangePromises(3_000, 9_000, 2_000, 4_000).leavingPrimaryGraceInMilliseconds())
        .isLessThan(2_000);
  }

  @Test
  void should_name_the_promise_that_is_not_positive() {
    assertThatThrownBy(() -> new ChangePromises(3_000, 0, 7_000, 4_000))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("taken out")
        .hasMessageContaining("0 ms");
  }
}
