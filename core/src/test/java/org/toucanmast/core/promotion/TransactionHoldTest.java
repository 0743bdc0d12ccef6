package org.toucanmast.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TransactionHoldTest {
  private final TransactionHold hold = new TransactionHold(500);

  @Test
  void should_not_hold_back_transactions_without_request() {
    assertThat(hold.isHeld(0, 0)).isFalse();
  }

  @Test
  void should_hold_back_transactions_while_requests_are_repeated() {
    hold.onMovePlanned(3, 0);
    hold.onMovePlanned(3, 400);

    assertThat(hold.isHeld(3, 899)).isTrue();
  }

  @Test
  void should_expire_when_request_is_not_repeated() {
    hold.onMovePlanned(3, 0);

    assertThat(hold.isHeld(3, 500)).isFalse();
  }

  @Test
  void should_end_when_primary_has_a_newer_term() {
    hold.onMovePlanned(3, 0);

    assertThat(hold.isHeld(4, 10)).isFalse();
  }

  @Test
  void should_count_open_transactions() {
    hold.onBegun();
    hold.onBegun();
    hold.onEnded();

    assertThat(hold.open()).isOne();
  }
}
