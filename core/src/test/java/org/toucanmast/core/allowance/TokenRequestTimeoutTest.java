package org.toucanmast.core.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class TokenRequestTimeoutTest {
  private final TokenRequestTimeout timeout = new TokenRequestTimeout();

  @Test
  void should_be_short_before_the_first_answer_and_with_fast_answers() {
    assertThat(timeout.inMilliseconds()).isEqualTo(60);

    for (int answer = 0; answer < 100; answer++) {
      timeout.onAnswer(4);
    }

    assertThat(timeout.inMilliseconds()).isEqualTo(60);
  }

  /** Replays a restart of the fleet: answers take 40 to 220 ms for some seconds, then 4 ms. */
  @Test
  void should_refuse_few_operations_while_holders_answer_late() {
    Random random = new Random(20261204);
    int refused = 0;
    int refusedWithFixedTimeout = 0;
    for (int request = 0; request < 400; request++) {
      long elapsed = 40 + random.nextInt(180);
      refused += elapsed > timeout.inMilliseconds() ? 1 : 0;
      refusedWithFixedTimeout += elapsed > 60 ? 1 : 0;
      timeout.onAnswer(elapsed);
    }
    System.out.printf(
        "late answers refused: %d with a fixed timeout, %d with this one%n",
        refusedWithFixedTimeout, refused);

    assertThat(refused).isLessThan(refusedWithFixedTimeout / 20);
  }

  @Test
  void should_return_to_the_minimum_when_answers_are_fast_again() {
    for (int answer = 0; answer < 50; answer++) {
      timeout.onAnswer(300);
    }
    assertThat(timeout.inMilliseconds()).isBetween(300L, 400L);

    for (int answer = 0; answer < 60; answer++) {
      timeout.onAnswer(4);
    }
    assertThat(timeout.inMilliseconds()).isEqualTo(60);
  }

  @Test
  void should_not_exceed_the_time_after_which_a_holder_is_replaced() {
    timeout.onAnswer(5_000);

    assertThat(timeout.inMilliseconds()).isEqualTo(400);
  }
}
