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
 * Waiting work, served in turn by customer (deficit round robin with equal weights).
 *
 * <p>Source: Shreedhar and Varghese, Efficient Fair Queuing using Deficit Round Robin, 1995. Each
 * item has a cost; in each turn a customer may use one quantum. A customer that sends too much
 * fills only its own queue.
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
  private final Deque<String> turns = new ArrayDeque<>();
  private int size;

  /**
   * Creates an empty queue.
   *
   * @param capacityPerCustomer the most items of one customer
   * @param quantum the cost a customer may use in one turn
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
      turns.addLast(customer);
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
    while (!turns.isEmpty()) {
      String customer = turns.peekFirst();
      CustomerQueue<T> queue = queues.get(customer);
      Entry<T> head = queue.entries.peekFirst();
      if (head == null) {
        turns.removeFirst();
        queues.remove(customer);
      } else if (head.cost() <= queue.deficit) {
        queue.entries.removeFirst();
        queue.deficit -= head.cost();
        size--;
        return Optional.of(head.item());
      } else {
        queue.deficit += quantum;
        turns.addLast(turns.removeFirst());
      }
    }
    return Optional.empty();
  }

  /** Removes and returns every item that matches, for example those past their deadline. */
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
   * Returns how many items are served before a new one of a customer: its own, and as many of each
   * other customer as have their turn until then. All items must have a cost of one quantum.
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

  /** Returns how many items of a customer wait. */
  public int waiting(String customer) {
    CustomerQueue<T> queue = queues.get(customer);
    return queue == null ? 0 : queue.entries.size();
  }

  /** Returns the number of waiting items. */
  public int size() {
    return size;
  }
}
