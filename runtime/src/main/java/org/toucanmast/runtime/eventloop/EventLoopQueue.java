package org.toucanmast.runtime.eventloop;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded queue from any number of threads to one event loop.
 *
 * <p>Example: a sender calls {@code queue.offer(message)}, and the consumer runs on the event loop.
 * A full queue rejects the item and counts it; senders must retry items that must not be lost.
 *
 * @param <T> the type of the items
 */
public final class EventLoopQueue<T> {
  private static final int BATCH_SIZE = 256;

  private final MpscArrayQueue<T> queue;
  private final Executor eventLoop;
  private final Consumer<T> consumer;
  private final AtomicBoolean scheduled = new AtomicBoolean();
  private final LongAdder rejected = new LongAdder();

  /**
   * Creates an empty queue.
   *
   * @param capacity the maximum number of queued items
   * @param eventLoop runs a task on the event loop
   * @param consumer called on the event loop for each item, in the order of the queue
   */
  public EventLoopQueue(int capacity, Executor eventLoop, Consumer<T> consumer) {
    this.queue = new MpscArrayQueue<>(capacity);
    this.eventLoop = eventLoop;
    this.consumer = consumer;
  }

  /** Adds an item; returns false if the queue is full. */
  public boolean offer(T item) {
    if (!queue.offer(item)) {
      rejected.increment();
      return false;
    }
    schedule();
    return true;
  }

  /** Returns how many items were rejected because the queue was full. */
  public long rejected() {
    return rejected.sum();
  }

  private void schedule() {
    if (scheduled.compareAndSet(false, true)) {
      eventLoop.execute(this::drain);
    }
  }

  private void drain() {
    scheduled.set(false);
    try {
      queue.drain(consumer::accept, BATCH_SIZE);
    } finally {
      if (!queue.isEmpty()) {
        schedule();
      }
    }
  }
}
