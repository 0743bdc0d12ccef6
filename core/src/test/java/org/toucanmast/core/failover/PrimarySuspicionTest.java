package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrimarySuspicionTest {
  private final PrimarySuspicion suspicion = new PrimarySuspicion();

  @Test
  void should_not_give_up_at_the_first_refused_connection() {
    suspicion.refused(1_000);

    assertThat(suspicion.isSuspected(1_000)).isTrue();
    assertThat(suspicion.isGivenUp(1_000)).isFalse();
  }

  @Test
  void should_give_up_when_connections_are_refused_for_a_while() {
    suspicion.refused(1_000);
    suspicion.refused(1_300);

    assertThat(suspicion.isGivenUp(1_300)).isTrue();
  }

  @Test
  void should_bear_silence_longer_than_refusals() {
    suspicion.silent(1_000, 1_400);
    assertThat(suspicion.isGivenUp(1_400)).isFalse();

    suspicion.silent(1_000, 1_800);
    assertThat(suspicion.isGivenUp(1_800)).isTrue();
  }

  @Test
  void should_forget_everything_at_an_answer() {
    suspicion.silent(1_000, 1_900);
    suspicion.answered();

    assertThat(suspicion.isSuspected(1_900)).isFalse();
  }

  @Test
  void should_forget_a_sign_that_is_long_past() {
    suspicion.refused(1_000);

    assertThat(suspicion.isGivenUp(9_000)).isFalse();
  }
}
