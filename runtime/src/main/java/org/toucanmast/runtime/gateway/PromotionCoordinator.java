package org.toucanmast.runtime.gateway;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.PromotionOrders;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoredObject;

/**
 * Orders promotions with a fencing token from the store.
 *
 * <p>For each group an object in the store names the VM that may order; the revision of its last
 * change is the token. The token is taken in calm times, so that a promotion needs no store. A
 * token that was refused, or whose order has no known outcome, is not used again. A holder notes in
 * the object that it has ordered; whoever takes the duty over from it orders nothing for a lease.
 * The note passes on with the duty and stays: the wait also gives a VM that was cut off the time to
 * learn who leads.
 */
public final class PromotionCoordinator {
  /** The kind of the objects that name the holders. */
  private static final String KIND = "toucanmast-promotions";

  /** Two holders do not order within this time of each other, in milliseconds. */
  private static final long LEASE_IN_MILLISECONDS = 3_500;

  /** Attempts to note an order; each takes as long as a call to the store may. */
  private static final int MOST_NOTES = 3;

  /** Between two attempts to take the duty in calm times, in milliseconds. */
  private static final long PREPARE_AGAIN_IN_MILLISECONDS = 1_000;

  private static final String HOLDER = "holder";
  private static final String COUNT = "count";
  private static final String ORDERED = "ordered";

  private final ObjectStore store;
  private final PromotionOrders orders;
  private final EventLog log;
  private final String vm;
  private final VmClock clock;
  private final Map<String, Token> tokens = new HashMap<>();
  private final Map<String, Future<Token>> taking = new HashMap<>();
  private final Map<String, Long> preparedAt = new HashMap<>();
  private final Set<Long> noted = new HashSet<>();
  private long count;

  /**
   * A fencing token.
   *
   * @param value the store's revision
   * @param usableFrom when the first order may be given, on the steady clock
   */
  private record Token(long value, long usableFrom) {}

  /** Creates a desk without tokens. */
  public PromotionCoordinator(
      ObjectStore store, PromotionOrders orders, VmClock clock, EventLog log, String vm) {
    this.clock = clock;
    this.store = store;
    this.orders = orders;
    this.log = log;
    this.vm = vm;
  }

  /** Takes the duty for a group, if this VM does not hold it yet; failures are tried again. */
  void prepareSoon(String group, long now) {
    if (tokens.containsKey(group) || now < preparedAt.getOrDefault(group, Long.MIN_VALUE)) {
      return;
    }
    preparedAt.put(group, now + PREPARE_AGAIN_IN_MILLISECONDS);
    token(group)
        .onFailure(
            error ->
                log.log(
                    EventKind.PROMOTION, "no token", "group", group, "reason", error.getMessage()));
  }

  /** Returns whether an order could be given now, or the duty is not held yet. */
  boolean mayOrder(String group) {
    Token held = tokens.get(group);
    return held == null || clock.now() >= held.usableFrom();
  }

  private Future<Token> token(String group) {
    Token held = tokens.get(group);
    if (held != null) {
      return Future.succeededFuture(held);
    }
    Future<Token> running = taking.get(group);
    if (running != null) {
      return running;
    }
    Future<Token> started = take(group);
    if (!started.isComplete()) {
      taking.put(group, started);
    }
    return started.onComplete(
        result -> {
          taking.remove(group);
          if (result.succeeded()) {
            tokens.put(group, result.result());
          }
        });
  }

  private Future<Token> take(String group) {
    return store
        .get(KIND, group)
        .compose(
            object -> takeFrom(group, object),
            error ->
                isMissing(error)
                    ? store
                        .create(KIND, group, content(false))
                        .map(taken -> new Token(taken.revision(), clock.now()))
                    : Future.failedFuture(error));
  }

  private Future<Token> takeFrom(String group, StoredObject before) {
    JsonObject earlier = before.content() == null ? new JsonObject() : before.content();
    boolean own = vm.equals(earlier.getString(HOLDER));
    boolean hasOrdered = earlier.getBoolean(ORDERED, true);
    long wait = own || !hasOrdered ? 0 : LEASE_IN_MILLISECONDS;
    return store
        .replace(KIND, group, content(hasOrdered), before.revision())
        .map(taken -> new Token(taken.revision(), clock.now() + wait));
  }

  private static boolean isMissing(Throwable error) {
    return error instanceof StoreException failure
        && failure.reason() == StoreException.Reason.MISSING;
  }

  private JsonObject content(boolean hasOrdered) {
    count++;
    return new JsonObject().put(HOLDER, vm).put(COUNT, vm + "-" + count).put(ORDERED, hasOrdered);
  }

  /** Notes in the store that this holder has ordered, so that the next one waits for a lease. */
  private void noteOrdered(String group, Token token, int attempt) {
    store
        .replace(KIND, group, content(true), token.value())
        .onFailure(
            error -> {
              boolean taken =
                  error instanceof StoreException failure
                      && failure.reason() == StoreException.Reason.CONFLICT;
              log.log(
                  EventKind.PROMOTION,
                  "order not noted",
                  "group",
                  group,
                  "attempt",
                  attempt,
                  "reason",
                  error.getMessage());
              if (!taken && attempt < MOST_NOTES) {
                noteOrdered(group, token, attempt + 1);
              }
            });
  }

  /** Orders that an endpoint leads its group. */
  Future<PromotionOrders.Outcome> promote(String group, String endpointId) {
    return token(group)
        .compose(token -> order(group, endpointId, token))
        .recover(
            error -> {
              log.log(
                  EventKind.PROMOTION, "no token", "group", group, "reason", error.getMessage());
              return Future.succeededFuture(PromotionOrders.Outcome.UNAVAILABLE);
            });
  }

  private Future<PromotionOrders.Outcome> order(String group, String endpointId, Token token) {
    if (clock.now() < token.usableFrom()) {
      return Future.succeededFuture(PromotionOrders.Outcome.UNAVAILABLE);
    }
    if (noted.add(token.value())) {
      noteOrdered(group, token, 1);
    }
    return orders
        .promote(group, endpointId, vm, token.value())
        .onSuccess(
            outcome -> {
              log.log(
                  EventKind.PROMOTION,
                  "ordered",
                  "group",
                  group,
                  "endpoint",
                  endpointId,
                  "token",
                  token.value(),
                  "outcome",
                  outcome);
              if (outcome == PromotionOrders.Outcome.REFUSED
                  || outcome == PromotionOrders.Outcome.UNKNOWN) {
                tokens.remove(group, token);
              }
            });
  }
}
