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
 * Statements that wait for an endpoint, in order of priority and, within one priority, round-robin
 * by customer. The lowest number is the highest priority.
 *
 * <p>A customer that sends far more statements than usual only delays itself: its statements queue
 * behind each other, and statements of other customers overtake them.
 *
 * @param <T> the waiting statement
 */
public final class WorkQueue<T> {
  /**
   * Maximum number of waiting statements of one customer at one priority. Admission by expected
   * wait usually refuses statements before this limit is reached.
   */
  private static final int CAPACITY_PER_CUSTOMER = 4_096;

  private static final int EQUAL_COST = 1;

  /** Weight of the newest interval between two served statements of a customer. */
  private static final double GAIN = 1.0 / 8;

  /**
   * Minimum number of served statements for an estimate, the span of the moving average: single
   * intervals vary too much.
   */
  private static final int MINIMUM_SAMPLES = (int) (1 / GAIN);

  private record Waiting<T>(String customer, T item) {}

  /** The statements of one priority. */
  private static final class PriorityLevel<T> {
    private final FairQueue<Waiting<T>> queue = new FairQueue<>(CAPACITY_PER_CUSTOMER, EQUAL_COST);
    private final Map<String, ServiceRate> serviceRates = new HashMap<>();
  }

  /** Measures how fast a customer's backlog is served. */
  private static final class ServiceRate {
    private long servedAt;
    private double intervalMilliseconds;
    private int servedCount;

    /**
     * Records that a statement was served. The time before the first one is not a sample: it shows
     * when an endpoint became available, not how fast statements are served.
     */
    private void onServed(long now) {
      double sample = now - servedAt;
      servedAt = now;
      servedCount++;
      if (servedCount > 1) {
        intervalMilliseconds +=
            Math.max(GAIN, 1.0 / (servedCount - 1)) * (sample - intervalMilliseconds);
      }
    }

    /**
     * Returns the mean interval between two served statements, in milliseconds; 0 while there are
     * too few samples.
     */
    private double meanInterval() {
      return servedCount < MINIMUM_SAMPLES ? 0 : intervalMilliseconds;
    }
  }

  private final TreeMap<Integer, PriorityLevel<T>> levels = new TreeMap<>();
  private int size;

  /**
   * Adds a statement.
   *
   * @param priority the priority; lower numbers are served first
   * @return false when its customer's queue for this priority is full
   */
  public boolean offer(int priority, String customer, T item) {
    PriorityLevel<T> level = levels.computeIfAbsent(priority, any -> new PriorityLevel<>());
    if (!level.queue.offer(customer, new Waiting<>(customer, item), EQUAL_COST)) {
      return false;
    }
    level.serviceRates.computeIfAbsent(customer, any -> new ServiceRate());
    size++;
    return true;
  }

  /**
   * Removes and returns the next statement.
   *
   * @param now the current time, in milliseconds
   */
  public Optional<T> poll(long now) {
    for (PriorityLevel<T> level : levels.values()) {
      Optional<Waiting<T>> next = level.queue.poll();
      if (next.isPresent()) {
        size--;
        recordServed(level, next.get().customer(), now);
        return Optional.of(next.get().item());
      }
    }
    return Optional.empty();
  }

  private void recordServed(PriorityLevel<T> level, String customer, long now) {
    if (level.queue.waiting(customer) == 0) {
      level.serviceRates.remove(customer);
    } else {
      level.serviceRates.get(customer).onServed(now);
    }
  }

  /** Removes and returns all statements that match the condition. */
  public List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (PriorityLevel<T> level : levels.values()) {
      level
          .queue
          .removeIf(waiting -> condition.test(waiting.item()))
          .forEach(waiting -> removed.add(waiting.item()));
      level.serviceRates.keySet().removeIf(customer -> level.queue.waiting(customer) == 0);
    }
    size -= removed.size();
    return removed;
  }

  /**
   * Returns the number of statements that are served before a new one of a customer: all statements
   * of higher priority, and those of the same priority that round-robin order places before it.
   */
  public int aheadOf(int priority, String customer) {
    int ahead = 0;
    for (PriorityLevel<T> level : levels.headMap(priority, false).values()) {
      ahead += level.queue.size();
    }
    PriorityLevel<T> sameLevel = levels.get(priority);
    return sameLevel == null ? ahead : ahead + sameLevel.queue.aheadOf(customer);
  }

  /**
   * Returns the time until a new statement of a customer is served at the rate at which the
   * customer's backlog was served recently, in milliseconds; 0 when it has no backlog or the rate
   * is not known yet. The measured rate also accounts for customers that arrive later and take
   * their turns.
   */
  public double backlogMilliseconds(int priority, String customer) {
    PriorityLevel<T> level = levels.get(priority);
    ServiceRate rate = level == null ? null : level.serviceRates.get(customer);
    return rate == null ? 0 : (level.queue.waiting(customer) + 1) * rate.meanInterval();
  }

  /** Returns the number of waiting statements. */
  public int size() {
    return size;
  }
}
