package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.group.Position;

class ReplicaLagTest {
  private final PositionHistory primary = new PositionHistory(10_000);
  private final ReplicaLag lag = new ReplicaLag();

  @Test
  void should_hold_what_the_replica_has_answered_with() {
    lag.observe(new Position(3, 10), primary, 1_000);

    assertThat(lag.probablyHolds(new Position(3, 10), primary, 1_000)).isTrue();
  }

  @Test
  void should_not_be_tried_for_a_position_that_the_primary_has_just_reached() {
    primary.observe(1_000, new Position(3, 11));
    lag.observe(new Position(3, 10), primary, 1_000);

    assertThat(lag.probablyHolds(new Position(3, 11), primary, 1_005)).isFalse();
    assertThat(lag.probablyHolds(new Position(3, 11), primary, 1_100)).isTrue();
  }

  @Test
  void should_be_tried_later_after_each_refusal() {
    primary.observe(1_000, new Position(3, 11));
    double before = lag.expectedDelay();

    lag.refused();

    assertThat(lag.expectedDelay()).isGreaterThan(before);
  }

  @Test
  void should_be_tried_again_however_often_it_refused() {
    primary.observe(1_000, new Position(3, 11));
    for (int i = 0; i < 100; i++) {
      lag.refused();
    }

    assertThat(lag.probablyHolds(new Position(3, 11), primary, 3_500)).isTrue();
  }
}
