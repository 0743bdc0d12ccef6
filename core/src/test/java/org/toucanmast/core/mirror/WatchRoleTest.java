package org.toucanmast.core.mirror;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WatchRoleTest {
  private static final long OUTAGE_IN_MILLISECONDS = 4_500;

  private static int callsDuringOutage(WatchRole role, PropagationTiming timing) {
    int failures = 0;
    for (long now = 0; now < OUTAGE_IN_MILLISECONDS; ) {
      failures++;
      now += role.retryDelayInMilliseconds(failures, timing);
    }
    return failures;
  }

  @ParameterizedTest
  @ValueSource(longs = {3_000, 4_000, 6_000})
  void should_repeat_refused_calls_seldom_as_one_of_many_fallbacks(long limit) {
    PropagationTiming timing = PropagationTiming.within(limit);

    assertThat(callsDuringOutage(WatchRole.FALLBACK, timing))
        .isLessThanOrEqualTo(callsDuringOutage(WatchRole.WATCHER, timing) / 2);
  }

  @ParameterizedTest
  @ValueSource(longs = {1_000, 3_000, 6_000, 20_000})
  void should_retry_as_fallback_within_the_limit_after_an_outage(long limit) {
    PropagationTiming timing = PropagationTiming.within(limit);

    assertThat(WatchRole.FALLBACK.retryDelayInMilliseconds(50, timing)).isLessThan(limit - 300);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 4, 50})
  void should_notice_the_return_of_the_store_soon_as_watcher(int failures) {
    assertThat(
            WatchRole.WATCHER.retryDelayInMilliseconds(failures, PropagationTiming.within(6_000)))
        .isBetween(100L, 800L);
  }
}
