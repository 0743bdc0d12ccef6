package org.toucanmast.core.allowance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Requests that wait for a token of another VM's bucket, batched into asks.
 *
 * <p>A grant is used only within the grant life after its ask, and an ask that is not answered in
 * that time is asked again; tokens of a late grant are dropped, so they never stretch a burst.
 *
 * @param <T> the waiting request
 */
public final class AskBatcher<T> {

  /**
   * One ask to send.
   *
   * @param id identifies its grant
   * @param counts tokens wanted by customer
   */
  public record Ask(long id, Map<String, Integer> counts) {}

  private record Waiting<T>(T item, long since, long deadline) {}

  private record Pending(long sentAt, Map<String, Integer> counts) {}

  private final long grantLife;
  private final Map<String, Deque<Waiting<T>>> waiting = new HashMap<>();
  private final Map<Long, Pending> pending = new HashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private long nextId = 1;

  /**
   * Creates a batcher to which nothing waits.
   *
   * @param grantLife how long a token may be used after its ask, in nanoseconds
   */
  public AskBatcher(long grantLife) {
    this.grantLife = grantLife;
  }

  /** Adds a request that waits for one token from now until its deadline. */
  public void add(String customer, T item, long now, long deadline) {
    waiting
        .computeIfAbsent(customer, name -> new ArrayDeque<>())
        .addLast(new Waiting<>(item, now, deadline));
  }

  /** Returns the customers for whom requests wait. */
  public List<String> customers() {
    return List.copyOf(waiting.keySet());
  }

  /** Removes and returns one waiting request of a customer, or null. */
  public T next(String customer) {
    Deque<Waiting<T>> queue = waiting.get(customer);
    if (queue == null) {
      return null;
    }
    Waiting<T> first = queue.pollFirst();
    if (queue.isEmpty()) {
      waiting.remove(customer);
    }
    return first == null ? null : first.item();
  }

  /** Returns how many more tokens should be asked for now. */
  public int missing(String customer) {
    Deque<Waiting<T>> queue = waiting.get(customer);
    int wanted = queue == null ? 0 : queue.size();
    return Math.max(0, wanted - inFlight.getOrDefault(customer, 0));
  }

  /** Makes an ask for the given customers' missing tokens. */
  public Ask ask(List<String> customers, long now) {
    Map<String, Integer> counts = new LinkedHashMap<>();
    for (String customer : customers) {
      int missing = missing(customer);
      if (missing > 0) {
        counts.put(customer, missing);
        inFlight.merge(customer, missing, Integer::sum);
      }
    }
    Ask ask = new Ask(nextId++, counts);
    pending.put(ask.id(), new Pending(now, counts));
    return ask;
  }

  /**
   * Takes in a grant.
   *
   * @return requests that may go on; empty when the grant came too late or twice
   */
  public List<T> onGrant(long askId, Map<String, Integer> granted, long now) {
    Pending answered = pending.remove(askId);
    if (answered == null) {
      return List.of();
    }
    settle(answered);
    List<T> admitted = new ArrayList<>();
    if (now - answered.sentAt() > grantLife) {
      return admitted;
    }
    granted.forEach(
        (customer, count) -> {
          int usable = Math.min(count, answered.counts().getOrDefault(customer, 0));
          for (int used = 0; used < usable; used++) {
            T item = next(customer);
            if (item != null) {
              admitted.add(item);
            }
          }
        });
    return admitted;
  }

  /** Gives up asks that were not answered within the grant life, so that they are asked again. */
  public void expireAsks(long now) {
    Iterator<Pending> iterator = pending.values().iterator();
    while (iterator.hasNext()) {
      Pending candidate = iterator.next();
      if (now - candidate.sentAt() > grantLife) {
        iterator.remove();
        settle(candidate);
      }
    }
  }

  /** Removes and returns the requests whose deadline has passed. */
  public List<T> expireRequests(long now) {
    List<T> expired = new ArrayList<>();
    for (String customer : customers()) {
      expired.addAll(removeIf(customer, request -> now - request.deadline() >= 0));
    }
    return expired;
  }

  /**
   * Removes and returns the requests of a customer that began to wait at or before the given time.
   */
  public List<T> removeSince(String customer, long time) {
    return removeIf(customer, request -> request.since() - time <= 0);
  }

  private List<T> removeIf(String customer, Predicate<Waiting<T>> condition) {
    Deque<Waiting<T>> queue = waiting.getOrDefault(customer, new ArrayDeque<>());
    List<T> removed = new ArrayList<>();
    Iterator<Waiting<T>> iterator = queue.iterator();
    while (iterator.hasNext()) {
      Waiting<T> request = iterator.next();
      if (condition.test(request)) {
        removed.add(request.item());
        iterator.remove();
      }
    }
    if (queue.isEmpty()) {
      waiting.remove(customer);
    }
    return removed;
  }

  private void settle(Pending answered) {
    answered
        .counts()
        .forEach(
            (customer, count) ->
                inFlight.computeIfPresent(
                    customer, (name, flying) -> flying > count ? flying - count : null));
  }
}
