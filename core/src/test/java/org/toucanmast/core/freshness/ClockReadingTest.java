package org.toucanmast.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClockReadingTest {
  private final ClockReading earlier = new ClockReading(1_000, 50_000);

  @Test
  void should_agree_when_both_clocks_advance_equally() {
    assertThat(new ClockReading(9_000, 58_010).agreesSince(earlier)).isTrue();
  }

  @Test
  void should_disagree_after_suspension_that_monotonic_clock_does_not_count() {
    assertThat(new ClockReading(1_010, 53_010).agreesSince(earlier)).isFalse();
  }

  @Test
  void should_disagree_when_wall_clock_is_set_back() {
    assertThat(new ClockReading(1_100, 47_700).agreesSince(earlier)).isFalse();
  }
}
