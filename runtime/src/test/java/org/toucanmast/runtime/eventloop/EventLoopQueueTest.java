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

  /** A queue of capacity 4 whose event loop never runs, so that it only fills up. */
  public static class UndrainedQueue {
    private final EventLoopQueue<Integer> queue = new EventLoopQueue<>(4, task -> {}, item -> {});

    /** Offers an item. */
    @Operation
    public boolean offer() {
      return queue.offer(1);
    }
  }

  @Test
  void should_accept_exactly_its_capacity_from_concurrent_senders() {
    LinChecker.check(
        UndrainedQueue.class,
        new StressOptions()
            .iterations(10)
            .invocationsPerIteration(500)
            .threads(3)
            .actorsPerThread(3)
            .sequentialSpecification(SequentialCounter.class));
  }

  /** The sequential specification of a queue of capacity 4 that is never drained. */
  public static class SequentialCounter {
    private int queued;

    /** Accepts an item if fewer than 4 are queued. */
    public boolean offer() {
      if (queued == 4) {
        return false;
      }
      queued++;
      return true;
    }
  }

  @Test
  void should_deliver_every_item_once_in_the_order_of_its_sender() throws InterruptedException {
    ExecutorService eventLoop = Executors.newSingleThreadExecutor();
    ExecutorService senders = Executors.newFixedThreadPool(3);
    List<Integer> delivered = new ArrayList<>();
    EventLoopQueue<Integer> queue = new EventLoopQueue<>(64, eventLoop, delivered::add);

    for (int sender = 0; sender < 3; sender++) {
      int base = sender * 100_000;
      senders.execute(
          () -> {
            for (int item = 0; item < 5_000; item++) {
              while (!queue.offer(base + item)) {
                Thread.onSpinWait();
              }
            }
          });
    }
    senders.shutdown();
    assertThat(senders.awaitTermination(30, TimeUnit.SECONDS)).isTrue();
    eventLoop.execute(() -> {});
    eventLoop.shutdown();
    assertThat(eventLoop.awaitTermination(30, TimeUnit.SECONDS)).isTrue();

    assertThat(delivered).hasSize(15_000).doesNotHaveDuplicates();
    for (int sender = 0; sender < 3; sender++) {
      int base = sender * 100_000;
      assertThat(delivered.stream().filter(item -> item / 100_000 == base / 100_000)).isSorted();
    }
  }
}
