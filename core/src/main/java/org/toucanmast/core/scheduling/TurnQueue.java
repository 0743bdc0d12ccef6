package org.toucanmast.core.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Waiting statements of one priority and class, round-robin by customer. Unlike a plain queue, a
 * statement that cannot start does not block the ones behind it.
 *
 * <p>Load: a customer that sends far more statements than usual, and reads that wait for a replica
 * to catch up in front of reads that could start at once.
 *
 * @param <T> the waiting statement
 */
final class TurnQueue<T> {
  /** Statements that are looked at in one search, so that a long queue does not cost a dispatch. */
  private static final int MAXIMUM_VISITS = 256;

  /** A waiting statement. */
  static final class Entry<T> {
    private final T item;
    private final StatementTerms terms;
    private long reconsiderAt = Long.MIN_VALUE;

    Entry(T item, StatementTerms terms) {
      this.item = item;
      this.terms = terms;
    }

    T item() {
      return item;
    }

    StatementTerms terms() {
      return terms;
    }

    /** Skips the statement in searches before the given time. */
    void pauseUntil(long time) {
      reconsiderAt = time;
    }
  }

  private final Map<String, TreeMap<Long, Entry<T>>> byCustomer = new HashMap<>();
  private final Deque<String> turns = new ArrayDeque<>();
  private int size;

  /**
   * Adds a statement at its place in the order of arrival.
   *
   * @param first whether its customer has the next turn, as before a refused attempt
   */
  void add(Entry<T> entry, boolean first) {
    String customer = entry.terms().customer();
    TreeMap<Long, Entry<T>> own = byCustomer.get(customer);
    if (own == null) {
      own = new TreeMap<>();
      byCustomer.put(customer, own);
      turns.addLast(customer);
    }
    if (own.put(entry.terms().place(), entry) == null) {
      size++;
    }
    if (first) {
      turns.remove(customer);
      turns.addFirst(customer);
    }
  }

  /** Finds the first statement in order that matches; it stays in the queue. */
  Optional<Entry<T>> find(long now, Predicate<Entry<T>> condition) {
    int visits = 0;
    List<Iterator<Entry<T>>> round = new ArrayList<>(turns.size());
    turns.forEach(customer -> round.add(byCustomer.get(customer).values().iterator()));
    while (!round.isEmpty()) {
      Iterator<Iterator<Entry<T>>> customers = round.iterator();
      while (customers.hasNext()) {
        Iterator<Entry<T>> own = customers.next();
        if (!own.hasNext()) {
          customers.remove();
          continue;
        }
        Entry<T> entry = own.next();
        visits++;
        if (visits > MAXIMUM_VISITS) {
          return Optional.empty();
        }
        if (now >= entry.reconsiderAt && condition.test(entry)) {
          return Optional.of(entry);
        }
      }
    }
    return Optional.empty();
  }

  /** Removes a statement that is served; the next turn of its customer comes after the others. */
  void serve(Entry<T> entry) {
    String customer = entry.terms().customer();
    remove(entry);
    if (turns.remove(customer)) {
      turns.addLast(customer);
    }
  }

  /** Removes a statement without a turn. */
  void remove(Entry<T> entry) {
    String customer = entry.terms().customer();
    TreeMap<Long, Entry<T>> own = byCustomer.get(customer);
    if (own == null || own.remove(entry.terms().place()) == null) {
      return;
    }
    size--;
    if (own.isEmpty()) {
      byCustomer.remove(customer);
      turns.remove(customer);
    }
  }

  /** Removes and returns all statements that match the condition. */
  List<Entry<T>> removeIf(Predicate<Entry<T>> condition) {
    List<Entry<T>> removed = new ArrayList<>();
    for (TreeMap<Long, Entry<T>> own : byCustomer.values()) {
      own.values().stream().filter(condition).forEach(removed::add);
    }
    removed.forEach(this::remove);
    return removed;
  }

  /** Returns whether the oldest statement of any customer matches the condition. */
  boolean anyOldestMatches(Predicate<Entry<T>> condition) {
    for (TreeMap<Long, Entry<T>> own : byCustomer.values()) {
      if (condition.test(own.firstEntry().getValue())) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a statement with the terms of the given one waits here. */
  boolean contains(StatementTerms terms) {
    TreeMap<Long, Entry<T>> own = byCustomer.get(terms.customer());
    return own != null && own.containsKey(terms.place());
  }

  /** Returns the number of statements that are served before a new one of a customer. */
  int aheadOf(String customer) {
    int ownWaiting = byCustomer.containsKey(customer) ? byCustomer.get(customer).size() : 0;
    int ahead = ownWaiting;
    for (Map.Entry<String, TreeMap<Long, Entry<T>>> other : byCustomer.entrySet()) {
      if (!other.getKey().equals(customer)) {
        ahead += Math.min(other.getValue().size(), ownWaiting + 1);
      }
    }
    return ahead;
  }

  int size() {
    return size;
  }
}
