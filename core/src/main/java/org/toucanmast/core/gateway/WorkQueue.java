package org.toucanmast.core.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.toucanmast.core.fairness.FairQueue;

/**
 * Statements that wait for an endpoint: the highest priority first, customers in turn within it.
 *
 * <p>Answers the load pattern of one customer that sends many times its usual: its statements wait
 * behind each other, and those of other customers pass.
 *
 * @param <T> the waiting statement
 */
public final class WorkQueue<T> {
  /** The most statements of one customer that wait; admission by expected wait refuses earlier. */
  private static final int CAPACITY_PER_CUSTOMER = 4_096;

  private static final int EQUAL_COST = 1;

  /** Weight of the newest interval between two statements of a customer. */
  private static final double GAIN = 1.0 / 8;

  /** A pace is not judged by fewer services than its average spans: single intervals vary much. */
  private static final int SERVICES_FOR_A_PACE = (int) (1 / GAIN);

  private record Waiting<T>(String customer, T item) {}

  /** One priority. */
  private static final class Lane<T> {
    private final FairQueue<Waiting<T>> queue = new FairQueue<>(CAPACITY_PER_CUSTOMER, EQUAL_COST);
    private final Map<String, Drain> drains = new HashMap<>();
  }

  /** How fast a customer's backlog is served. */
  private static final class Drain {
    private long servedAt;
    private double interval;
    private int services;

    /** The time before the first service says when endpoints could be used, not how fast. */
    private void served(long now) {
      double sample = now - servedAt;
      servedAt = now;
      services++;
      if (services > 1) {
        interval += Math.max(GAIN, 1.0 / (services - 1)) * (sample - interval);
      }
    }

    /** Returns the time from one service to the next; 0 while too few were seen. */
    private double interval() {
      return services < SERVICES_FOR_A_PACE ? 0 : interval;
    }
  }

  private final TreeMap<Integer, Lane<T>> lanes = new TreeMap<>();
  private int size;

  /** Adds a statement; returns false when its customer's queue is full. */
  public boolean offer(int priority, String customer, T item) {
    Lane<T> lane = lanes.computeIfAbsent(priority, any -> new Lane<>());
    if (!lane.queue.offer(customer, new Waiting<>(customer, item), EQUAL_COST)) {
      return false;
    }
    lane.drains.computeIfAbsent(customer, any -> new Drain());
    size++;
    return true;
  }

  /** Removes and returns the next statement. */
  public Optional<T> poll(long now) {
    for (Lane<T> lane : lanes.values()) {
      Optional<Waiting<T>> next = lane.queue.poll();
      if (next.isPresent()) {
        size--;
        noteServed(lane, next.get().customer(), now);
        return Optional.of(next.get().item());
      }
    }
    return Optional.empty();
  }

  private void noteServed(Lane<T> lane, String customer, long now) {
    if (lane.queue.waiting(customer) == 0) {
      lane.drains.remove(customer);
    } else {
      lane.drains.get(customer).served(now);
    }
  }

  /** Removes and returns every statement that matches. */
  public List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (Lane<T> lane : lanes.values()) {
      lane.queue
          .removeIf(waiting -> condition.test(waiting.item()))
          .forEach(waiting -> removed.add(waiting.item()));
      lane.drains.keySet().removeIf(customer -> lane.queue.waiting(customer) == 0);
    }
    size -= removed.size();
    return removed;
  }

  /**
   * Returns how many statements are served before a new one of a customer: all of higher priority,
   * and of its own priority those that fair turns put before it.
   */
  public int aheadOf(int priority, String customer) {
    int ahead = 0;
    for (Lane<T> lane : lanes.headMap(priority, false).values()) {
      ahead += lane.queue.size();
    }
    Lane<T> own = lanes.get(priority);
    return own == null ? ahead : ahead + own.queue.aheadOf(customer);
  }

  /**
   * Returns how long a customer's backlog takes at the pace at which it was served lately, in
   * milliseconds; 0 when it has none. Customers that come later take their turns, too, and only the
   * measured pace shows that.
   */
  public double backlogTime(int priority, String customer) {
    Lane<T> lane = lanes.get(priority);
    Drain drain = lane == null ? null : lane.drains.get(customer);
    return drain == null ? 0 : (lane.queue.waiting(customer) + 1) * drain.interval();
  }

  /** Returns the number of waiting statements. */
  public int size() {
    return size;
  }
}
