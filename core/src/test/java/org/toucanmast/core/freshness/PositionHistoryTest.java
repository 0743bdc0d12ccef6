package org.toucanmast.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.toucanmast.core.group.Position;

class PositionHistoryTest {
  private final PositionHistory history = new PositionHistory(10_000);

  @Test
  void should_have_no_position_before_first_observation() {
    assertThat(history.requiredPosition(1_500, 100)).isEmpty();
    assertThat(history.age(100)).isEqualTo(Long.MAX_VALUE);
  }

  @Test
  void should_require_oldest_position_within_accepted_age() {
    history.observe(1_000, new Position(3, 10));
    history.observe(2_000, new Position(3, 20));
    history.observe(3_000, new Position(3, 30));

    assertThat(history.requiredPosition(1_500, 3_100)).contains(new Position(3, 20));
    assertThat(history.requiredPosition(500, 3_100)).contains(new Position(3, 30));
  }

  @Test
  void should_have_no_required_position_when_all_observations_are_too_old() {
    history.observe(1_000, new Position(3, 10));

    assertThat(history.requiredPosition(1_500, 2_501)).isEmpty();
    assertThat(history.requiredPosition(1_500, 2_500)).contains(new Position(3, 10));
  }

  @Test
  void should_update_newest_position_by_observation_within_minimum_interval() {
    history.observe(1_000, new Position(3, 10));
    history.observe(1_005, new Position(3, 11));

    assertThat(history.newest()).isEqualTo(new Position(3, 11));
    assertThat(history.requiredPosition(10, 1_012)).contains(new Position(3, 11));
  }

  @Test
  void should_return_time_of_first_observation_that_reaches_position() {
    history.observe(1_000, new Position(3, 10));
    history.observe(2_000, new Position(3, 20));

    assertThat(history.reachedAt(new Position(3, 15))).contains(2_000L);
    assertThat(history.reachedAt(new Position(3, 21))).isEmpty();
  }

  @Test
  void should_discard_times_but_keep_newest_position_when_clocks_disagree() {
    history.observe(1_000, new Position(3, 10));

    history.discardTimes();

    assertThat(history.requiredPosition(1_500, 1_000)).isEmpty();
    assertThat(history.newest()).isEqualTo(new Position(3, 10));
  }

  @Test
  void should_not_count_late_reply_to_an_earlier_request_as_recent() {
    history.observe(2_000, new Position(3, 20));
    history.observe(1_000, new Position(3, 25));

    assertThat(history.age(2_100)).isEqualTo(100);
  }
}
