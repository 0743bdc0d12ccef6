package org.toucanmast.core.fairness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue that serves customers by deficit round robin with equal weights.
 *
 * <p>Source: Shreedhar and Varghese, Efficient Fair Queuing using Deficit Round Robin, 1995. Each
 * item has a cost, and in each round a customer may use up one quantum. A customer that sends too
 * many items fills only its own queue.
 *
 * @param <T> the waiting item
 */
public final class FairQueue<T> {

  private record Entry<T>(T item, int cost) {}

  private static final class CustomerQueue<T> {
    private final Deque<Entry<T>> entries = new ArrayDeque<>();
    private int deficit;
  }

  private final int capacityPerCustomer;
  private final int quantum;
  private final Map<String, CustomerQueue<T>> queues = new HashMap<>();
  private final Deque<String> roundRobin = new ArrayDeque<>();
  private int size;

  /**
   * Creates an empty queue.
   *
   * @param capacityPerCustomer the maximum number of waiting items of one customer
   * @param quantum the cost that a customer may use up in one round
   */
  public FairQueue(int capacityPerCustomer, int quantum) {
    this.capacityPerCustomer = capacityPerCustomer;
    this.quantum = quantum;
  }

  /** Adds an item; returns false when the customer's queue is full. */
  public boolean offer(String customer, T item, int cost) {
    CustomerQueue<T> queue = queues.get(customer);
    if (queue == null) {
      queue = new CustomerQueue<>();
      queue.deficit = quantum;
      queues.put(customer, queue);
      roundRobin.addLast(customer);
    }
    if (queue.entries.size() >= capacityPerCustomer) {
      return false;
    }
    queue.entries.addLast(new Entry<>(item, cost));
    size++;
    return true;
  }

  /** Removes and returns the next item. */
  public Optional<T> poll() {
    while (!roundRobin.isEmpty()) {
      String customer = roundRobin.peekFirst();
      CustomerQueue<T> queue = queues.get(customer);
      Entry<T> head = queue.entries.peekFirst();
      if (head == null) {
        roundRobin.removeFirst();
        queues.remove(customer);
      } else if (head.cost() <= queue.deficit) {
        queue.entries.removeFirst();
        queue.deficit -= head.cost();
        size--;
        return Optional.of(head.item());
      } else {
        queue.deficit += quantum;
        roundRobin.addLast(roundRobin.removeFirst());
      }
    }
    return Optional.empty();
  }

  /** Removes and returns all items that match the condition, for example expired ones. */
  public List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (CustomerQueue<T> queue : queues.values()) {
      Iterator<Entry<T>> iterator = queue.entries.iterator();
      while (iterator.hasNext()) {
        Entry<T> entry = iterator.next();
        if (condition.test(entry.item())) {
          iterator.remove();
          removed.add(entry.item());
          size--;
        }
      }
    }
    return removed;
  }

  /**
   * Returns the number of items that are served before a new one of a customer: its own waiting
   * items, and those of each other customer whose turns come earlier. All items must have a cost of
   * one quantum.
   */
  public int aheadOf(String customer) {
    CustomerQueue<T> own = queues.get(customer);
    int ownWaiting = waiting(customer);
    int ahead = ownWaiting;
    for (CustomerQueue<T> queue : queues.values()) {
      if (queue != own) {
        ahead += Math.min(queue.entries.size(), ownWaiting + 1);
      }
    }
    return ahead;
  }

  /** Returns the number of waiting items of a customer. */
  public int waiting(String customer) {
    CustomerQueue<T> queue = queues.get(customer);
    return queue == null ? 0 : queue.entries.size();
  }

  /** Returns the number of waiting items. */
  public int size() {
    return size;
  }
}
