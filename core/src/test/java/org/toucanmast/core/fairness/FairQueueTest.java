package org.toucanmast.core.fairness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class FairQueueTest {

  @Test
  void should_delay_only_the_busy_customer() {
    FairQueue<String> queue = new FairQueue<>(100, 1);
    for (int item = 0; item < 50; item++) {
      queue.offer("busy", "busy", 1);
    }
    queue.offer("idle", "idle", 1);

    List<String> first = List.of(queue.poll().orElseThrow(), queue.poll().orElseThrow());

    assertThat(first).contains("idle");
  }

  @Test
  void should_refuse_items_of_a_customer_with_full_queue_and_accept_others() {
    FairQueue<String> queue = new FairQueue<>(1, 1);
    queue.offer("busy", "one", 1);

    assertThat(queue.offer("busy", "two", 1)).isFalse();
    assertThat(queue.offer("idle", "one", 1)).isTrue();
  }

  @Property(seed = "11")
  void should_serve_every_item_once_and_customers_almost_equally(
      @ForAll @Size(min = 2, max = 5) List<@IntRange(min = 1, max = 30) Integer> counts) {
    FairQueue<Integer> queue = new FairQueue<>(100, 1);
    for (int customer = 0; customer < counts.size(); customer++) {
      for (int item = 0; item < counts.get(customer); item++) {
        queue.offer("customer-" + customer, customer, 1);
      }
    }
    Map<Integer, Integer> served = new HashMap<>();
    List<Integer> order = new ArrayList<>();
    for (Optional<Integer> next = queue.poll(); next.isPresent(); next = queue.poll()) {
      order.add(next.get());
      served.merge(next.get(), 1, Integer::sum);
      int shortest = counts.stream().min(Integer::compare).orElseThrow();
      if (order.size() <= shortest * counts.size()) {
        int most = served.values().stream().max(Integer::compare).orElseThrow();
        assertThat(most).isLessThanOrEqualTo(order.size() / counts.size() + 2);
      }
    }

    assertThat(order).hasSize(counts.stream().mapToInt(Integer::intValue).sum());
    assertThat(queue.size()).isZero();
  }
}
