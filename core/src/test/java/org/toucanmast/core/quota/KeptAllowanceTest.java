package org.toucanmast.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.configuration.Allowance;

class KeptAllowanceTest {
  private static final Allowance WHOLE = new Allowance(100, 100);

  @Test
  void should_have_some_tokens_at_once_when_it_is_kept_anew() {
    KeptAllowance kept = new KeptAllowance(WHOLE, 1.0 / 7, 0);

    assertThat(kept.take(100, 0)).isBetween(5, 40);
  }

  @Test
  void should_stay_within_a_window_over_three_changes_of_keeper_in_it() {
    Allowance allowance = new Allowance(144, 144);
    KeptAllowance keeper = new KeptAllowance(allowance, 1, -10_000);
    int taken = 0;
    for (long now = 0; now < 5_000; now += 10) {
      if (now == 1_200 || now == 2_400 || now == 3_600) {
        keeper = new KeptAllowance(allowance, 1, now);
      }
      taken += keeper.take(10, now);
    }

    assertThat(taken).isLessThanOrEqualTo((int) ((144 * 5 + 144) * 1.1));
  }

  @Test
  void should_fill_at_the_rate_of_the_part_that_is_lent() {
    KeptAllowance kept = new KeptAllowance(WHOLE, 0.5, 0);
    kept.take(100, 0);

    assertThat(kept.take(100, 500)).isEqualTo(25);
  }

  @Test
  void should_refuse_hardly_any_of_a_customer_below_its_rate() {
    KeptAllowance kept = new KeptAllowance(new Allowance(20, 20), 1, 0);
    Random random = new Random(7);
    int refused = 0;
    double at = 20_000;
    for (int i = 0; i < 5_000; i++) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / 12.5;
      refused += 1 - kept.take(1, (long) at);
    }

    assertThat(refused).isLessThan(10);
  }

  @Test
  void should_never_give_more_than_rate_and_burst_allow_in_any_window() {
    KeptAllowance kept = new KeptAllowance(WHOLE, 1, 0);
    Random random = new Random(11);
    int[] perTenth = new int[600];
    for (int tenth = 0; tenth < perTenth.length; tenth++) {
      kept.resize(WHOLE, random.nextInt(8) / 7.0, tenth * 100L);
      perTenth[tenth] = kept.take(random.nextInt(60), tenth * 100L);
    }
    for (int start = 0; start + 50 <= perTenth.length; start++) {
      int sum = 0;
      for (int tenth = start; tenth < start + 50; tenth++) {
        sum += perTenth[tenth];
      }
      assertThat(sum).isLessThanOrEqualTo((int) ((100 * 5 + 100) * 1.1 + 20));
    }
  }

  @Test
  void should_have_the_whole_burst_once_after_a_restart_of_the_fleet() {
    KeptAllowance kept = new KeptAllowance(WHOLE, 1.0 / 7, 0);
    kept.fillAfterRestart(WHOLE);
    kept.fillAfterRestart(WHOLE);

    assertThat(kept.take(500, 0)).isBetween(95, 101);
  }

  @Test
  void should_not_add_first_tokens_to_a_bucket_that_has_filled_since() {
    KeptAllowance kept = new KeptAllowance(WHOLE, 1, 0);
    kept.fillAfterRestart(WHOLE);

    assertThat(kept.take(500, 10_000)).isEqualTo(100);
  }
}
