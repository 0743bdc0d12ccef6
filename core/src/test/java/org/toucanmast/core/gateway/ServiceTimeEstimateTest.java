package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class ServiceTimeEstimateTest {
  @Test
  void should_converge_to_constant_service_time() {
    ServiceTimeEstimate times = new ServiceTimeEstimate(25);
    for (int i = 0; i < 100; i++) {
      times.observe(8);
    }

    assertThat(times.mean()).isCloseTo(8, within(0.1));
    assertThat(times.upperEstimate()).isCloseTo(8, within(0.5));
  }

  @Test
  void should_raise_upper_estimate_when_service_times_vary() {
    ServiceTimeEstimate times = new ServiceTimeEstimate(25);
    for (int i = 0; i < 100; i++) {
      times.observe(i % 2 == 0 ? 5 : 45);
    }

    assertThat(times.upperEstimate()).isGreaterThan(60);
  }
}
