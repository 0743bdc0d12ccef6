package org.toucanmast.core.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.configuration.Allowance;

class HeldAllowanceTest {
  private static final Allowance FULL = new Allowance(100, 100);

  @Test
  void should_grant_part_of_burst_immediately_at_a_new_holder() {
    HeldAllowance held = new HeldAllowance(FULL, 1.0 / 7, 0);

    assertThat(held.take(100, 0)).isBetween(5, 40);
  }

  @Test
  void should_respect_window_limit_over_three_changes_of_holder() {
    Allowance allowance = new Allowance(144, 144);
    HeldAllowance holder = new HeldAllowance(allowance, 1, -10_000);
    int taken = 0;
    for (long now = 0; now < 5_000; now += 10) {
      if (now == 1_200 || now == 2_400 || now == 3_600) {
        holder = new HeldAllowance(allowance, 1, now);
      }
      taken += holder.take(10, now);
    }

    assertThat(taken).isLessThanOrEqualTo((int) ((144 * 5 + 144) * 1.1));
  }

  @Test
  void should_refill_at_rate_of_lent_share() {
    HeldAllowance held = new HeldAllowance(FULL, 0.5, 0);
    held.take(100, 0);

    assertThat(held.take(100, 500)).isEqualTo(25);
  }

  @Test
  void should_rarely_refuse_customer_below_its_rate() {
    HeldAllowance held = new HeldAllowance(new Allowance(20, 20), 1, 0);
    Random random = new Random(7);
    int refused = 0;
    double at = 20_000;
    for (int i = 0; i < 5_000; i++) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / 12.5;
      refused += 1 - held.take(1, (long) at);
    }

    assertThat(refused).isLessThan(10);
  }

  @Test
  void should_never_exceed_rate_and_burst_in_any_window() {
    HeldAllowance held = new HeldAllowance(FULL, 1, 0);
    Random random = new Random(11);
    int[] takenPerTenth = new int[600];
    for (int tenth = 0; tenth < takenPerTenth.length; tenth++) {
      held.resize(FULL, random.nextInt(8) / 7.0, tenth * 100L);
      takenPerTenth[tenth] = held.take(random.nextInt(60), tenth * 100L);
    }
    for (int start = 0; start + 50 <= takenPerTenth.length; start++) {
      int sum = 0;
      for (int tenth = start; tenth < start + 50; tenth++) {
        sum += takenPerTenth[tenth];
      }
      assertThat(sum).isLessThanOrEqualTo((int) ((100 * 5 + 100) * 1.1 + 20));
    }
  }

  @Test
  void should_grant_full_burst_once_after_restart_of_all_vms() {
    HeldAllowance held = new HeldAllowance(FULL, 1.0 / 7, 0);
    held.fillAfterRestart(FULL);
    held.fillAfterRestart(FULL);

    assertThat(held.take(500, 0)).isBetween(95, 101);
  }

  @Test
  void should_expire_initial_tokens_of_a_bucket_that_has_refilled() {
    HeldAllowance held = new HeldAllowance(FULL, 1, 0);
    held.fillAfterRestart(FULL);

    assertThat(held.take(500, 10_000)).isEqualTo(100);
  }
}
