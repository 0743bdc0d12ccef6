package org.toucanmast.runtime.eventloop;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded ring from any threads to the thread of one duty.
 *
 * <p>Example: {@code ring.offer(message)} at the sender; the consumer runs on the duty's thread. A
 * full ring refuses the item and counts it; senders repeat what must not be lost.
 *
 * @param <T> the items
 */
public final class EventLoopQueue<T> {
  private static final int BATCH = 256;

  private final MpscArrayQueue<T> queue;
  private final Executor duty;
  private final Consumer<T> consumer;
  private final AtomicBoolean scheduled = new AtomicBoolean();
  private final LongAdder refused = new LongAdder();

  /**
   * Creates a ring.
   *
   * @param capacity the most items that wait
   * @param duty runs a task on the duty's thread
   * @param consumer called on the duty's thread for each item, in order
   */
  public EventLoopQueue(int capacity, Executor duty, Consumer<T> consumer) {
    this.queue = new MpscArrayQueue<>(capacity);
    this.duty = duty;
    this.consumer = consumer;
  }

  /** Adds an item; returns false when the ring is full. */
  public boolean offer(T item) {
    if (!queue.offer(item)) {
      refused.increment();
      return false;
    }
    schedule();
    return true;
  }

  /** Returns how many items were refused because the ring was full. */
  public long refused() {
    return refused.sum();
  }

  private void schedule() {
    if (scheduled.compareAndSet(false, true)) {
      duty.execute(this::drain);
    }
  }

  private void drain() {
    scheduled.set(false);
    try {
      queue.drain(consumer::accept, BATCH);
    } finally {
      if (!queue.isEmpty()) {
        schedule();
      }
    }
  }
}
