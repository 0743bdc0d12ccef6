package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkQueueTest {
  private final WorkQueue<String> queue = new WorkQueue<>();

  private List<String> drain() {
    List<String> order = new ArrayList<>();
    for (var next = queue.poll(0); next.isPresent(); next = queue.poll(0)) {
      order.add(next.get());
    }
    return order;
  }

  @Test
  void should_serve_the_highest_priority_first() {
    queue.offer(2, "customer", "later");
    queue.offer(1, "customer", "sooner");

    assertThat(drain()).containsExactly("sooner", "later");
  }

  @Test
  void should_serve_customers_round_robin_when_one_sends_many_statements() {
    for (int i = 0; i < 50; i++) {
      queue.offer(2, "busy", "busy-" + i);
    }
    queue.offer(2, "idle", "idle-0");

    assertThat(drain().indexOf("idle-0")).isLessThanOrEqualTo(1);
  }

  @Test
  void should_count_statements_of_same_or_higher_priority_ahead() {
    queue.offer(1, "customer", "first");
    queue.offer(2, "customer", "second");

    assertThat(queue.aheadOf(1, "customer")).isEqualTo(1);
    assertThat(queue.aheadOf(2, "customer")).isEqualTo(2);
  }

  @Test
  void should_count_one_statement_of_a_busy_customer_ahead_of_an_idle_one() {
    for (int i = 0; i < 50; i++) {
      queue.offer(2, "busy", "busy-" + i);
    }

    assertThat(queue.aheadOf(2, "idle")).isEqualTo(1);
    assertThat(queue.aheadOf(2, "busy")).isEqualTo(50);
  }

  @Test
  void should_update_size_when_statements_are_removed() {
    queue.offer(1, "customer", "first");
    queue.offer(2, "customer", "second");

    assertThat(queue.removeIf("first"::equals)).containsExactly("first");
    assertThat(queue.size()).isEqualTo(1);
    assertThat(drain()).containsExactly("second");
    assertThat(queue.size()).isZero();
  }

  @Test
  void should_estimate_backlog_time_from_rate_of_service() {
    for (int i = 0; i < 20; i++) {
      queue.offer(2, "busy", "busy-" + i);
    }
    for (int i = 1; i <= 15; i++) {
      queue.poll(i * 40L);
    }

    assertThat(queue.backlogMilliseconds(2, "busy")).isEqualTo(6 * 40);
    assertThat(queue.backlogMilliseconds(2, "idle")).isZero();
  }

  @Test
  void should_not_count_time_before_first_service_in_rate() {
    for (int i = 0; i < 20; i++) {
      queue.offer(2, "customer", "statement-" + i);
    }
    queue.poll(600);

    assertThat(queue.backlogMilliseconds(2, "customer")).isZero();

    for (int i = 1; i < 10; i++) {
      queue.poll(600 + i * 5L);
    }

    assertThat(queue.backlogMilliseconds(2, "customer")).isEqualTo(11 * 5);
  }
}
