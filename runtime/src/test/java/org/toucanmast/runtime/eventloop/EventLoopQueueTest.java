package org.toucanmast.runtime.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.junit.jupiter.api.Test;

class EventLoopQueueTest {

  /** A ring whose duty never runs: a bounded counter of what fits. */
  public static class StoppedRing {
    private final EventLoopQueue<Integer> ring = new EventLoopQueue<>(4, task -> {}, item -> {});

    /** Sends an item. */
    @Operation
    public boolean offer() {
      return ring.offer(1);
    }
  }

  @Test
  void should_accept_exactly_its_capacity_under_any_interleaving() {
    LinChecker.check(
        StoppedRing.class,
        new StressOptions()
            .iterations(10)
            .invocationsPerIteration(500)
            .threads(3)
            .actorsPerThread(3)
            .sequentialSpecification(BoundedCounter.class));
  }

  /** What a ring of capacity 4 does when one thread uses it. */
  public static class BoundedCounter {
    private int used;

    /** Takes a place if one is left. */
    public boolean offer() {
      if (used == 4) {
        return false;
      }
      used++;
      return true;
    }
  }

  @Test
  void should_deliver_every_item_once_in_the_order_of_its_sender() throws InterruptedException {
    ExecutorService duty = Executors.newSingleThreadExecutor();
    ExecutorService senders = Executors.newFixedThreadPool(3);
    List<Integer> delivered = new ArrayList<>();
    EventLoopQueue<Integer> ring = new EventLoopQueue<>(64, duty, delivered::add);

    for (int sender = 0; sender < 3; sender++) {
      int base = sender * 100_000;
      senders.execute(
          () -> {
            for (int item = 0; item < 5_000; item++) {
              while (!ring.offer(base + item)) {
                Thread.onSpinWait();
              }
            }
          });
    }
    senders.shutdown();
    assertThat(senders.awaitTermination(30, TimeUnit.SECONDS)).isTrue();
    duty.execute(() -> {});
    duty.shutdown();
    assertThat(duty.awaitTermination(30, TimeUnit.SECONDS)).isTrue();

    assertThat(delivered).hasSize(15_000).doesNotHaveDuplicates();
    for (int sender = 0; sender < 3; sender++) {
      int base = sender * 100_000;
      assertThat(delivered.stream().filter(item -> item / 100_000 == base / 100_000)).isSorted();
    }
  }
}
