package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrimaryFailureDetectorTest {
  private final PrimaryFailureDetector detector = new PrimaryFailureDetector();

  @Test
  void should_suspect_but_not_fail_primary_after_first_refused_connection() {
    detector.onConnectionRefused(1_000);

    assertThat(detector.isSuspected(1_000)).isTrue();
    assertThat(detector.hasFailed(1_000)).isFalse();
  }

  @Test
  void should_fail_primary_when_connections_are_refused_beyond_limit() {
    detector.onConnectionRefused(1_000);
    detector.onConnectionRefused(1_300);

    assertThat(detector.hasFailed(1_300)).isTrue();
  }

  @Test
  void should_tolerate_silence_longer_than_refused_connections() {
    detector.onSilence(1_000, 1_400);
    assertThat(detector.hasFailed(1_400)).isFalse();

    detector.onSilence(1_000, 1_800);
    assertThat(detector.hasFailed(1_800)).isTrue();
  }

  @Test
  void should_end_suspicion_after_a_reply() {
    detector.onSilence(1_000, 1_900);
    detector.onReply();

    assertThat(detector.isSuspected(1_900)).isFalse();
  }

  @Test
  void should_end_suspicion_without_further_signs() {
    detector.onConnectionRefused(1_000);

    assertThat(detector.hasFailed(9_000)).isFalse();
  }
}
