package org.toucanmast.runtime.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.statement.StatementRequest;

class GatewayContextTest {
  /**
   * A statement of a former transaction would otherwise run inside another caller's transaction.
   */
  @Test
  void should_not_repeat_the_transaction_handles_of_an_earlier_run_of_the_vm() {
    Set<Long> earlier = new HashSet<>();
    GatewayContext first = new GatewayContext(null, null, null, null, null, null, "a", 1_000);
    GatewayContext second = new GatewayContext(null, null, null, null, null, null, "a", 1_800);
    for (int transaction = 0; transaction < 10_000; transaction++) {
      earlier.add(first.nextTransactionHandle());
    }

    assertThat(earlier).hasSize(10_000).doesNotContain(StatementRequest.NO_TRANSACTION);
    for (int transaction = 0; transaction < 10_000; transaction++) {
      assertThat(earlier).doesNotContain(second.nextTransactionHandle());
    }
  }
}
