package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OrderPermissionTest {
  private final OrderPermission permission = new OrderPermission();

  @Test
  void should_not_choose_the_former_primary_from_behind_a_cut() {
    for (long now = 0; now < 5_500; now += 350) {
      assertThat(permission.mayChoose(1, 3, now)).as("at %s ms", now).isFalse();
    }

    assertThat(permission.mayChoose(3, 3, 5_600)).isTrue();
  }

  @Test
  void should_choose_at_once_when_most_endpoints_answer() {
    assertThat(permission.mayChoose(2, 3, 0)).isTrue();
  }

  @Test
  void should_choose_the_only_endpoint_that_is_left_in_the_end() {
    permission.mayChoose(1, 3, 0);

    assertThat(permission.mayChoose(1, 3, 5_999)).isFalse();
    assertThat(permission.mayChoose(1, 3, 6_000)).isTrue();
  }

  @Test
  void should_start_anew_after_the_group_had_a_primary() {
    permission.mayChoose(1, 3, 0);
    permission.onPrimaryUsable();

    assertThat(permission.mayChoose(1, 3, 6_000)).isFalse();
  }

  @Test
  void should_not_poll_while_isolated_unless_that_lasts() {
    permission.onIsolation(true, 1_000);
    permission.onIsolation(true, 2_000);

    assertThat(permission.mayPoll(10_999)).isFalse();
    assertThat(permission.mayPoll(11_000)).isTrue();

    permission.onIsolation(false, 11_000);
    permission.onIsolation(true, 12_000);
    assertThat(permission.mayPoll(12_000)).isFalse();

    permission.onIsolation(false, 13_000);
    assertThat(permission.mayPoll(13_000)).isTrue();
  }
}
