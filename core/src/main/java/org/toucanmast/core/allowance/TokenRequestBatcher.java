package org.toucanmast.core.allowance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Operations that wait for tokens from the bucket of another VM, batched into token requests.
 *
 * <p>A grant is used only within the grant lifetime, counted from its token request. Operations
 * whose token request is not answered in that time are included in a later one. Tokens of a late
 * grant are returned to the holder, so that they cannot extend a burst.
 *
 * @param <T> the waiting operation
 */
public final class TokenRequestBatcher<T> {

  /**
   * A token request to send to the holder.
   *
   * @param id the identifier that the grant repeats
   * @param counts the number of requested tokens by customer
   */
  public record TokenRequest(long id, Map<String, Integer> counts) {}

  private record Waiting<T>(T item, long waitingSince, long deadline) {}

  private record SentRequest(long sentAt, Map<String, Integer> counts) {}

  private static final int MAXIMUM_EXPIRED_REQUESTS = 1_000;

  private final long grantLifetime;
  private final Map<String, Deque<Waiting<T>>> waiting = new HashMap<>();
  private final Map<Long, SentRequest> sentRequests = new HashMap<>();
  private final Map<Long, Long> expiredRequests = new LinkedHashMap<>();
  private final Map<String, Integer> requestedTokens = new HashMap<>();
  private long nextId = 1;

  /**
   * Creates a batcher without waiting operations.
   *
   * @param grantLifetime how long after its token request a token may be used, in the unit of the
   *     times that are passed to this batcher
   */
  public TokenRequestBatcher(long grantLifetime) {
    this.grantLifetime = grantLifetime;
  }

  /** Adds an operation that waits for one token from now until its deadline. */
  public void add(String customer, T item, long now, long deadline) {
    waiting
        .computeIfAbsent(customer, name -> new ArrayDeque<>())
        .addLast(new Waiting<>(item, now, deadline));
  }

  /** Returns the customers that have waiting operations. */
  public List<String> customers() {
    return List.copyOf(waiting.keySet());
  }

  /**
   * Removes and returns the operation of a customer that has waited longest; null when none waits.
   */
  public T pollNext(String customer) {
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

  /** Returns the number of waiting operations of a customer. */
  public int waiting(String customer) {
    Deque<Waiting<T>> queue = waiting.get(customer);
    return queue == null ? 0 : queue.size();
  }

  /** Returns the number of waiting operations for which no token is currently requested. */
  public int tokensToRequest(String customer) {
    return Math.max(0, waiting(customer) - requestedTokens.getOrDefault(customer, 0));
  }

  /**
   * Creates a token request for all tokens that the given customers still need; its counts are
   * empty when they need none.
   */
  public TokenRequest createRequest(List<String> customers, long now) {
    Map<String, Integer> counts = new LinkedHashMap<>();
    for (String customer : customers) {
      int missing = tokensToRequest(customer);
      if (missing > 0) {
        counts.put(customer, missing);
        requestedTokens.merge(customer, missing, Integer::sum);
      }
    }
    TokenRequest request = new TokenRequest(nextId++, counts);
    sentRequests.put(request.id(), new SentRequest(now, counts));
    return request;
  }

  /**
   * The effect of a grant.
   *
   * @param admitted the operations that may proceed
   * @param unused the number of tokens to return to the holder, by customer
   * @param answeredAfter the time from the token request to its answer, also to an expired one;
   *     empty for a duplicate grant
   */
  public record Granted<T>(
      List<T> admitted, Map<String, Integer> unused, OptionalLong answeredAfter) {}

  /**
   * Assigns the tokens of a grant to waiting operations. A duplicate grant has no effect; all
   * tokens of a late grant are unused.
   */
  public Granted<T> onGrant(long requestId, Map<String, Integer> granted, long now) {
    SentRequest request = sentRequests.remove(requestId);
    if (request == null) {
      Long sentAt = expiredRequests.remove(requestId);
      return sentAt == null
          ? new Granted<>(List.of(), Map.of(), OptionalLong.empty())
          : new Granted<>(List.of(), granted, OptionalLong.of(now - sentAt));
    }
    removeRequestedTokens(request);
    OptionalLong answeredAfter = OptionalLong.of(now - request.sentAt());
    if (now - request.sentAt() > grantLifetime) {
      return new Granted<>(List.of(), granted, answeredAfter);
    }
    List<T> admitted = new ArrayList<>();
    Map<String, Integer> unused = new HashMap<>();
    granted.forEach(
        (customer, count) -> {
          int usable = Math.min(count, request.counts().getOrDefault(customer, 0));
          int used = 0;
          while (used < usable && waiting.containsKey(customer)) {
            admitted.add(pollNext(customer));
            used++;
          }
          if (used < usable) {
            unused.put(customer, usable - used);
          }
        });
    return new Granted<>(admitted, unused, answeredAfter);
  }

  /**
   * Discards token requests that were not answered within the grant lifetime, so that their tokens
   * are requested again.
   */
  public void expireTokenRequests(long now) {
    Iterator<Map.Entry<Long, SentRequest>> iterator = sentRequests.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Long, SentRequest> entry = iterator.next();
      if (now - entry.getValue().sentAt() > grantLifetime) {
        iterator.remove();
        removeRequestedTokens(entry.getValue());
        rememberExpired(entry.getKey(), entry.getValue().sentAt());
      }
    }
  }

  /** Removes and returns the operations whose deadline has passed. */
  public List<T> expireOperations(long now) {
    List<T> overdue = new ArrayList<>();
    for (String customer : customers()) {
      overdue.addAll(removeIf(customer, operation -> now - operation.deadline() >= 0));
    }
    return overdue;
  }

  /**
   * Removes and returns the operations of a customer that started to wait at or before the given
   * time.
   */
  public List<T> removeWaitingSince(String customer, long time) {
    return removeIf(customer, operation -> operation.waitingSince() - time <= 0);
  }

  private List<T> removeIf(String customer, Predicate<Waiting<T>> condition) {
    Deque<Waiting<T>> queue = waiting.getOrDefault(customer, new ArrayDeque<>());
    List<T> removed = new ArrayList<>();
    Iterator<Waiting<T>> iterator = queue.iterator();
    while (iterator.hasNext()) {
      Waiting<T> operation = iterator.next();
      if (condition.test(operation)) {
        removed.add(operation.item());
        iterator.remove();
      }
    }
    if (queue.isEmpty()) {
      waiting.remove(customer);
    }
    return removed;
  }

  private void rememberExpired(long requestId, long sentAt) {
    expiredRequests.put(requestId, sentAt);
    if (expiredRequests.size() > MAXIMUM_EXPIRED_REQUESTS) {
      expiredRequests.remove(expiredRequests.keySet().iterator().next());
    }
  }

  private void removeRequestedTokens(SentRequest request) {
    request
        .counts()
        .forEach(
            (customer, count) ->
                requestedTokens.computeIfPresent(
                    customer, (name, tokens) -> tokens > count ? tokens - count : null));
  }
}
