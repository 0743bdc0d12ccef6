package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AdmissionTest {
  @Test
  void should_expect_no_wait_when_a_slot_is_free() {
    assertThat(Admission.expectedWait(0, 3, 1, 20)).isZero();
  }

  @Test
  void should_expect_wait_in_proportion_to_statements_ahead() {
    assertThat(Admission.expectedWait(5, 3, 0, 30)).isEqualTo(60);
  }

  @Test
  void should_admit_statement_without_wait_regardless_of_remaining_time() {
    assertThat(Admission.admits(0, 40, 1)).isTrue();
  }

  @Test
  void should_refuse_statement_that_would_miss_its_deadline() {
    assertThat(Admission.admits(800, 40, 1_000)).isFalse();
    assertThat(Admission.admits(400, 40, 1_000)).isTrue();
  }

  @Test
  void should_refuse_statement_when_there_are_no_slots() {
    assertThat(Admission.admits(Admission.expectedWait(0, 0, 0, 20), 20, 1_000)).isFalse();
  }
}
