package org.toucanmast.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClockReadingTest {
  private final ClockReading first = new ClockReading(1_000, 50_000);

  @Test
  void should_agree_when_both_clocks_advance_alike() {
    assertThat(new ClockReading(9_000, 58_010).agreesSince(first)).isTrue();
  }

  @Test
  void should_disagree_after_a_suspension_that_the_steady_clock_does_not_count() {
    assertThat(new ClockReading(1_010, 53_010).agreesSince(first)).isFalse();
  }

  @Test
  void should_disagree_when_the_time_of_day_is_set_back() {
    assertThat(new ClockReading(1_100, 47_700).agreesSince(first)).isFalse();
  }
}
