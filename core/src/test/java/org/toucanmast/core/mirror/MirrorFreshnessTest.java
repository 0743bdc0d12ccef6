package org.toucanmast.core.mirror;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class MirrorFreshnessTest {
  private static final PropagationTiming TIMING = PropagationTiming.within(6_000);

  private final MirrorFreshness freshness = new MirrorFreshness("vm-1", TIMING, 1_000);

  @Test
  void should_rely_on_peers_whose_age_is_low() {
    for (long now = 1_000; now < 60_000; now += 400) {
      freshness.onPeerAge(3_000, now);

      assertThat(freshness.isOutdated(now)).isFalse();
    }
  }

  @Test
  void should_ask_the_store_when_peers_repeat_an_old_age() {
    freshness.onPeerAge(0, 1_000);
    for (long now = 1_400; now < 9_000; now += 400) {
      freshness.onPeerAge(now - 1_000, now);
    }

    assertThat(freshness.isOutdated(9_000)).isTrue();
    assertThat(freshness.ageInMilliseconds(9_000)).hasValue(8_000);
  }

  @Test
  void should_pass_an_age_on_at_once_only_if_peers_may_know_a_high_one() {
    freshness.onPeerAge(0, 1_000);

    assertThat(freshness.onPeerAge(100, 2_000)).isFalse();
    assertThat(freshness.onPeerAge(100, 1_900 + TIMING.maximumAgeInMilliseconds())).isTrue();
  }

  @Test
  void should_say_nothing_before_the_store_answered_anybody() {
    assertThat(freshness.ageInMilliseconds(2_000)).isEmpty();
  }

  @Test
  void should_spread_the_moments_at_which_vms_ask() {
    Set<Long> moments = new HashSet<>();
    for (int vm = 0; vm < 100; vm++) {
      MirrorFreshness other = new MirrorFreshness("front-a-" + vm, TIMING, 0);
      long now = 0;
      while (!other.isOutdated(now)) {
        now += 100;
      }
      assertThat(now)
          .isBetween(
              TIMING.maximumAgeInMilliseconds(),
              TIMING.maximumAgeInMilliseconds() + TIMING.spreadInMilliseconds() + 100);
      moments.add(now);
    }

    assertThat(moments).hasSizeGreaterThan(5);
  }
}
