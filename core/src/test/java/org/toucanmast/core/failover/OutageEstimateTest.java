package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.toucanmast.core.gateway.Admission;

class OutageEstimateTest {
  @Test
  void should_expect_rest_of_a_typical_change_of_primary() {
    assertThat(OutageEstimate.remainingMilliseconds(200, 600)).isEqualTo(400);
  }

  @Test
  void should_expect_long_outage_to_last_as_long_again() {
    assertThat(OutageEstimate.remainingMilliseconds(5_000, 600)).isEqualTo(5_000);
  }

  @Test
  void should_admit_statements_in_a_short_outage_and_refuse_them_in_a_long_one() {
    assertThat(Admission.admits(OutageEstimate.remainingMilliseconds(300, 600), 20, 1_000))
        .isTrue();
    assertThat(Admission.admits(OutageEstimate.remainingMilliseconds(2_000, 600), 20, 1_000))
        .isFalse();
  }
}
