package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.group.Position;

class ReplicaLagEstimateTest {
  private final PositionHistory primary = new PositionHistory(10_000);
  private final ReplicaLagEstimate lag = new ReplicaLagEstimate();

  @Test
  void should_cover_position_that_the_replica_replied_with() {
    lag.observe(new Position(3, 10), primary, 1_000);

    assertThat(lag.probablyHolds(new Position(3, 10), primary, 1_000)).isTrue();
  }

  @Test
  void should_not_cover_position_that_the_primary_has_just_reached() {
    primary.observe(1_000, new Position(3, 11));
    lag.observe(new Position(3, 10), primary, 1_000);

    assertThat(lag.probablyHolds(new Position(3, 11), primary, 1_005)).isFalse();
    assertThat(lag.probablyHolds(new Position(3, 11), primary, 1_100)).isTrue();
  }

  @Test
  void should_increase_expected_lag_after_a_refused_read() {
    primary.observe(1_000, new Position(3, 11));
    double before = lag.expectedLagMilliseconds();

    lag.onReadRefused();

    assertThat(lag.expectedLagMilliseconds()).isGreaterThan(before);
  }

  @Test
  void should_limit_expected_lag_after_repeated_refusals() {
    primary.observe(1_000, new Position(3, 11));
    for (int i = 0; i < 100; i++) {
      lag.onReadRefused();
    }

    assertThat(lag.probablyHolds(new Position(3, 11), primary, 3_500)).isTrue();
  }
}
