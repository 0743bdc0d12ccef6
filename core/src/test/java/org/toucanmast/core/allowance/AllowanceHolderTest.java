package org.toucanmast.core.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.membership.Epoch;

class AllowanceHolderTest {
  private static final long SECOND = 1_000_000_000;
  private static final Allowance ALLOWANCE = new Allowance(10, 8);
  private final LendingView view =
      new LendingView(new Epoch(1, new TreeSet<>(List.of("a", "b"))), new TreeSet<>(List.of("b")));
  private final AllowanceHolder holder = new AllowanceHolder("a", 0);

  private void lend(String owner, long until, long now) {
    holder.onLease(owner, new AllowanceHolder.Lease(until, 0.5, view), now);
  }

  @Test
  void should_grant_nothing_without_lease() {
    assertThat(holder.take("customer", ALLOWANCE, 5, SECOND)).isZero();
  }

  @Test
  void should_fill_bucket_from_time_of_lease() {
    lend("a", 100 * SECOND, 0);
    lend("b", 100 * SECOND, 0);

    assertThat(holder.take("customer", ALLOWANCE, 20, 50 * SECOND)).isEqualTo(8);
  }

  @Test
  void should_reduce_tokens_when_lease_expires() {
    lend("a", 100 * SECOND, 0);
    lend("b", 10 * SECOND, 0);
    holder.take("customer", ALLOWANCE, 1, 5 * SECOND);

    assertThat(holder.take("customer", ALLOWANCE, 20, 10 * SECOND)).isEqualTo(4);
  }

  @Test
  void should_not_refill_at_previous_rate_after_pause() {
    lend("a", 100 * SECOND, 0);
    lend("b", 100 * SECOND, 0);
    holder.take("customer", ALLOWANCE, 8, 5 * SECOND);
    lend("b", 5 * SECOND + SECOND / 10, 5 * SECOND);

    int afterPause = holder.take("customer", ALLOWANCE, 20, 6 * SECOND - SECOND / 10);

    assertThat(afterPause).isEqualTo(4);
  }

  @Test
  void should_start_empty_when_share_is_lent_again() {
    lend("a", 100 * SECOND, 0);
    holder.take("customer", ALLOWANCE, 1, 5 * SECOND);
    holder.onLeaseWithdrawn("a", 6 * SECOND);
    lend("a", 100 * SECOND, 7 * SECOND);

    assertThat(holder.take("customer", ALLOWANCE, 5, 7 * SECOND)).isZero();
  }

  @Test
  void should_reserve_tokens_that_a_late_grant_could_add() {
    AllowanceHolder reserving = new AllowanceHolder("a", SECOND / 10);
    reserving.onLease("a", new AllowanceHolder.Lease(100 * SECOND, 1, view), 0);

    assertThat(reserving.take("customer", ALLOWANCE, 20, 50 * SECOND)).isEqualTo(7);
  }

  @Test
  void should_not_refill_bucket_of_customer_that_was_removed_and_added_again() {
    lend("a", 100 * SECOND, 0);
    holder.take("customer", ALLOWANCE, 4, 5 * SECOND);

    holder.retainCustomers(name -> false, 6 * SECOND);

    assertThat(holder.take("customer", ALLOWANCE, 4, 6 * SECOND)).isZero();
  }

  @Test
  void should_accept_unused_tokens_up_to_capacity() {
    lend("a", 100 * SECOND, 0);
    lend("b", 100 * SECOND, 0);
    holder.take("customer", ALLOWANCE, 8, 50 * SECOND);

    holder.putBack("customer", 3, 50 * SECOND);
    assertThat(holder.take("customer", ALLOWANCE, 20, 50 * SECOND)).isEqualTo(3);

    holder.putBack("customer", 30, 50 * SECOND);
    assertThat(holder.take("customer", ALLOWANCE, 20, 50 * SECOND)).isEqualTo(8);
  }
}
