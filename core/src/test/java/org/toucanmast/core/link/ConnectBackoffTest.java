package org.toucanmast.core.link;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConnectBackoffTest {
  private final ConnectBackoff backoff = new ConnectBackoff();

  @Test
  void should_let_statements_wait_for_the_first_attempt_only_for_a_moment() {
    backoff.onAttempt(1_000);

    assertThat(backoff.isSuspected(1_200)).isFalse();
    assertThat(backoff.isSuspected(1_201)).isTrue();
    assertThat(backoff.mayAttempt(1_201)).isFalse();
  }

  @Test
  void should_pass_over_a_failed_peer_until_a_connection_is_open() {
    backoff.onAttempt(1_000);
    backoff.onFailed(1_010);
    assertThat(backoff.mayAttempt(1_259)).isFalse();
    assertThat(backoff.mayAttempt(1_260)).isTrue();

    backoff.onAttempt(1_260);
    assertThat(backoff.isSuspected(1_261)).isTrue();

    backoff.onConnected();
    assertThat(backoff.isSuspected(1_262)).isFalse();
  }

  @Test
  void should_double_the_delay_up_to_a_second() {
    long now = 0;
    for (long delay : new long[] {250, 500, 1_000, 1_000}) {
      backoff.onAttempt(now);
      backoff.onFailed(now);
      assertThat(backoff.mayAttempt(now + delay - 1)).isFalse();
      assertThat(backoff.mayAttempt(now + delay)).isTrue();
      now += delay;
    }
  }
}
