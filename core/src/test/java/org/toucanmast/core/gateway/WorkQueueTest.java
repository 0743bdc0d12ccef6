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
  void should_serve_customers_in_turn_when_one_sends_many() {
    for (int i = 0; i < 50; i++) {
      queue.offer(2, "loud", "loud-" + i);
    }
    queue.offer(2, "quiet", "quiet-0");

    assertThat(drain().indexOf("quiet-0")).isLessThanOrEqualTo(1);
  }

  @Test
  void should_count_only_what_is_served_before() {
    queue.offer(1, "customer", "first");
    queue.offer(2, "customer", "second");

    assertThat(queue.aheadOf(1, "customer")).isEqualTo(1);
    assertThat(queue.aheadOf(2, "customer")).isEqualTo(2);
  }

  @Test
  void should_count_one_statement_of_a_loud_customer_before_a_quiet_one() {
    for (int i = 0; i < 50; i++) {
      queue.offer(2, "loud", "loud-" + i);
    }

    assertThat(queue.aheadOf(2, "quiet")).isEqualTo(1);
    assertThat(queue.aheadOf(2, "loud")).isEqualTo(50);
  }

  @Test
  void should_keep_its_size_when_items_are_removed() {
    queue.offer(1, "customer", "first");
    queue.offer(2, "customer", "second");

    assertThat(queue.removeIf("first"::equals)).containsExactly("first");
    assertThat(queue.size()).isEqualTo(1);
    assertThat(drain()).containsExactly("second");
    assertThat(queue.size()).isZero();
  }

  @Test
  void should_measure_the_pace_at_which_a_backlog_is_served() {
    for (int i = 0; i < 20; i++) {
      queue.offer(2, "loud", "loud-" + i);
    }
    for (int i = 1; i <= 15; i++) {
      queue.poll(i * 40L);
    }

    assertThat(queue.backlogTime(2, "loud")).isEqualTo(6 * 40);
    assertThat(queue.backlogTime(2, "quiet")).isZero();
  }

  @Test
  void should_not_take_the_time_before_the_first_service_for_the_pace() {
    for (int i = 0; i < 20; i++) {
      queue.offer(2, "customer", "statement-" + i);
    }
    queue.poll(600);

    assertThat(queue.backlogTime(2, "customer")).isZero();

    for (int i = 1; i < 10; i++) {
      queue.poll(600 + i * 5L);
    }

    assertThat(queue.backlogTime(2, "customer")).isEqualTo(11 * 5);
  }
}
