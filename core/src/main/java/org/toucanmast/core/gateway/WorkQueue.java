package org.toucanmast.core.gateway;

import java.util.ArrayList;
import java.util.List;
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

  private final TreeMap<Integer, FairQueue<T>> byPriority = new TreeMap<>();
  private int size;

  /** Adds a statement; returns false when its customer's queue is full. */
  public boolean offer(int priority, String customer, T item) {
    FairQueue<T> queue =
        byPriority.computeIfAbsent(
            priority, any -> new FairQueue<>(CAPACITY_PER_CUSTOMER, EQUAL_COST));
    boolean added = queue.offer(customer, item, EQUAL_COST);
    if (added) {
      size++;
    }
    return added;
  }

  /** Removes and returns the next statement. */
  public Optional<T> poll() {
    for (FairQueue<T> queue : byPriority.values()) {
      Optional<T> next = queue.poll();
      if (next.isPresent()) {
        size--;
        return next;
      }
    }
    return Optional.empty();
  }

  /** Removes and returns every statement that matches. */
  public List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (FairQueue<T> queue : byPriority.values()) {
      removed.addAll(queue.removeIf(condition));
    }
    size -= removed.size();
    return removed;
  }

  /** Returns how many statements would be served before a new one of the given priority. */
  public int aheadOf(int priority) {
    int ahead = 0;
    for (FairQueue<T> queue : byPriority.headMap(priority, true).values()) {
      ahead += queue.size();
    }
    return ahead;
  }

  /** Returns the number of waiting statements. */
  public int size() {
    return size;
  }
}
