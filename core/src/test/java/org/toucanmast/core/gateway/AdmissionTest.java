package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AdmissionTest {
  @Test
  void should_expect_no_wait_while_a_slot_is_free() {
    assertThat(Admission.expectedWait(0, 3, 1, 20)).isZero();
  }

  @Test
  void should_expect_a_wait_for_each_statement_ahead() {
    assertThat(Admission.expectedWait(5, 3, 0, 30)).isEqualTo(60);
  }

  @Test
  void should_admit_without_a_wait_however_little_time_is_left() {
    assertThat(Admission.admits(0, 40, 1)).isTrue();
  }

  @Test
  void should_refuse_what_would_outlive_its_use() {
    assertThat(Admission.admits(800, 40, 1_000)).isFalse();
    assertThat(Admission.admits(400, 40, 1_000)).isTrue();
  }

  @Test
  void should_refuse_when_there_is_no_slot_at_all() {
    assertThat(Admission.admits(Admission.expectedWait(0, 0, 0, 20), 20, 1_000)).isFalse();
  }
}
