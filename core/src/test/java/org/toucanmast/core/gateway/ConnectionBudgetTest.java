package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConnectionBudgetTest {
  @Test
  void should_reserve_connections_for_a_gateway_that_has_just_failed() {
    assertThat(new ConnectionBudget(21).limit(true, 0)).isLessThan(21).isGreaterThan(10);
  }

  @Test
  void should_allow_at_least_one_connection() {
    assertThat(new ConnectionBudget(1).limit(true, 0)).isEqualTo(1);
  }

  @Test
  void should_not_open_more_connections_for_a_time_after_a_refusal() {
    ConnectionBudget budget = new ConnectionBudget(20);

    budget.onConnectionRefused(7, 1_000);

    assertThat(budget.limit(true, 1_000)).isEqualTo(7);
    assertThat(budget.limit(true, 10_000)).isEqualTo(15);
  }

  @Test
  void should_allow_more_connections_to_a_primary_than_to_a_replica() {
    ConnectionBudget budget = new ConnectionBudget(20);

    assertThat(budget.limit(true, 0)).isGreaterThan(budget.limit(false, 0));
  }
}
