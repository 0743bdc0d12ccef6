package org.toucanmast.core.allowance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Requests that wait for a token of another VM's bucket, batched into asks.
 *
 * <p>A grant is used only within the grant life after its ask, and an ask that is not answered in
 * that time is asked again; tokens of a late grant go back to the holder, so they never stretch a
 * burst.
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

  private static final int MAXIMUM_EXPIRED = 1_000;

  private final long grantLife;
  private final Map<String, Deque<Waiting<T>>> waiting = new HashMap<>();
  private final Map<Long, Pending> pending = new HashMap<>();
  private final Set<Long> expired = new LinkedHashSet<>();
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

  /** Returns how many requests of a customer wait. */
  public int waiting(String customer) {
    Deque<Waiting<T>> queue = waiting.get(customer);
    return queue == null ? 0 : queue.size();
  }

  /** Returns how many more tokens should be asked for now. */
  public int missing(String customer) {
    return Math.max(0, waiting(customer) - inFlight.getOrDefault(customer, 0));
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
   * What a grant leads to.
   *
   * @param admitted requests that may go on
   * @param unused tokens that came too late and go back to the holder, by customer
   */
  public record Granted<T>(List<T> admitted, Map<String, Integer> unused) {}

  /** Takes in a grant; one that comes twice leads to nothing. */
  public Granted<T> onGrant(long askId, Map<String, Integer> granted, long now) {
    Pending answered = pending.remove(askId);
    if (answered == null) {
      return new Granted<>(List.of(), expired.remove(askId) ? granted : Map.of());
    }
    settle(answered);
    if (now - answered.sentAt() > grantLife) {
      return new Granted<>(List.of(), granted);
    }
    List<T> admitted = new ArrayList<>();
    Map<String, Integer> unused = new HashMap<>();
    granted.forEach(
        (customer, count) -> {
          int usable = Math.min(count, answered.counts().getOrDefault(customer, 0));
          int used = 0;
          while (used < usable && waiting.containsKey(customer)) {
            admitted.add(next(customer));
            used++;
          }
          if (used < usable) {
            unused.put(customer, usable - used);
          }
        });
    return new Granted<>(admitted, unused);
  }

  /** Gives up asks that were not answered within the grant life, so that they are asked again. */
  public void expireAsks(long now) {
    Iterator<Map.Entry<Long, Pending>> iterator = pending.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Long, Pending> candidate = iterator.next();
      if (now - candidate.getValue().sentAt() > grantLife) {
        iterator.remove();
        settle(candidate.getValue());
        noteExpired(candidate.getKey());
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

  private void noteExpired(long askId) {
    expired.add(askId);
    if (expired.size() > MAXIMUM_EXPIRED) {
      expired.remove(expired.iterator().next());
    }
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
