package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class PromotionLockTest {
  private static final long LEASE = 3_500;
  private static final long NOW = 100_000;
  private static final OptionalLong LONG_AGO = OptionalLong.of(10_000);
  private static final OptionalLong JUST_NOW = OptionalLong.of(NOW - 500);

  private static long wait(Optional<PromotionLock> previous, OptionalLong eraBeganAt) {
    return PromotionLock.usableFrom(previous, "a", 2, eraBeganAt, LEASE, NOW) - NOW;
  }

  private static Optional<PromotionLock> lock(String holder, long era, boolean ordered) {
    return Optional.of(new PromotionLock(holder, era, ordered));
  }

  @Test
  void should_be_usable_at_once_without_a_previous_holder() {
    assertThat(wait(Optional.empty(), OptionalLong.empty())).isZero();
    assertThat(wait(Optional.empty(), LONG_AGO)).isZero();
  }

  @Test
  void should_wait_for_a_lease_after_another_holder_that_ordered() {
    assertThat(wait(lock("b", 2, true), LONG_AGO)).isEqualTo(LEASE);
    assertThat(wait(lock("b", 2, false), LONG_AGO)).isZero();
    assertThat(wait(lock("a", 2, true), LONG_AGO)).isZero();
  }

  @Test
  void should_wait_until_a_lease_after_the_restore_for_orders_of_which_nothing_is_known() {
    assertThat(wait(Optional.empty(), JUST_NOW)).isEqualTo(LEASE - 500);
    assertThat(wait(lock("a", 1, false), JUST_NOW)).isEqualTo(LEASE - 500);
    assertThat(wait(lock("b", 1, false), JUST_NOW)).isEqualTo(LEASE - 500);
    assertThat(wait(lock("b", 1, true), JUST_NOW)).isEqualTo(LEASE);
  }

  @Test
  void should_not_wait_for_a_lock_of_an_earlier_era_long_after_the_restore() {
    assertThat(wait(lock("a", 1, true), LONG_AGO)).isZero();
    assertThat(wait(lock("b", 1, false), LONG_AGO)).isZero();
  }

  @Test
  void should_wait_for_a_lease_when_the_time_of_the_restore_is_not_known() {
    assertThat(wait(lock("a", 1, false), OptionalLong.empty())).isEqualTo(LEASE);
  }
}
