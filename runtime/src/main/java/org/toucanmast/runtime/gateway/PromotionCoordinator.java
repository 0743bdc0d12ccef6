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
  private static final int MAXIMUM_RECORD_ATTEMPTS = 3;

  /** Between two attempts to take the duty in calm times, in milliseconds. */
  private static final long ACQUISITION_RETRY_INTERVAL_IN_MILLISECONDS = 1_000;

  private static final String HOLDER = "holder";
  private static final String COUNT = "count";
  private static final String ORDERED = "ordered";

  private final ObjectStore store;
  private final PromotionOrders orders;
  private final EventLog log;
  private final String vm;
  private final VmClock clock;
  private final Map<String, FencingToken> heldTokens = new HashMap<>();
  private final Map<String, Future<FencingToken>> acquisitions = new HashMap<>();
  private final Map<String, Long> nextAcquisitionAt = new HashMap<>();
  private final Set<Long> recordedTokens = new HashSet<>();
  private long writeCount;

  /**
   * A fencing token.
   *
   * @param value the store's revision
   * @param usableFrom when the first order may be given, on the steady clock
   */
  private record FencingToken(long value, long usableFrom) {}

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
  void acquireLockInAdvance(String group, long now) {
    if (heldTokens.containsKey(group)
        || now < nextAcquisitionAt.getOrDefault(group, Long.MIN_VALUE)) {
      return;
    }
    nextAcquisitionAt.put(group, now + ACQUISITION_RETRY_INTERVAL_IN_MILLISECONDS);
    fencingToken(group)
        .onFailure(
            error ->
                log.log(
                    EventKind.PROMOTION, "no token", "group", group, "reason", error.getMessage()));
  }

  /** Returns whether an order could be given now, or the duty is not held yet. */
  boolean mayOrder(String group) {
    FencingToken held = heldTokens.get(group);
    return held == null || clock.now() >= held.usableFrom();
  }

  private Future<FencingToken> fencingToken(String group) {
    FencingToken held = heldTokens.get(group);
    if (held != null) {
      return Future.succeededFuture(held);
    }
    Future<FencingToken> inProgress = acquisitions.get(group);
    if (inProgress != null) {
      return inProgress;
    }
    Future<FencingToken> acquisition = acquireLock(group);
    if (!acquisition.isComplete()) {
      acquisitions.put(group, acquisition);
    }
    return acquisition.onComplete(
        result -> {
          acquisitions.remove(group);
          if (result.succeeded()) {
            heldTokens.put(group, result.result());
          }
        });
  }

  private Future<FencingToken> acquireLock(String group) {
    return store
        .get(KIND, group)
        .compose(
            object -> takeOverLock(group, object),
            error ->
                isMissing(error)
                    ? store
                        .create(KIND, group, content(false))
                        .map(stored -> new FencingToken(stored.revision(), clock.now()))
                    : Future.failedFuture(error));
  }

  private Future<FencingToken> takeOverLock(String group, StoredObject current) {
    JsonObject lockContent = current.content() == null ? new JsonObject() : current.content();
    boolean alreadyHolder = vm.equals(lockContent.getString(HOLDER));
    boolean hasOrdered = lockContent.getBoolean(ORDERED, true);
    long leaseWaitMilliseconds = alreadyHolder || !hasOrdered ? 0 : LEASE_IN_MILLISECONDS;
    return store
        .replace(KIND, group, content(hasOrdered), current.revision())
        .map(stored -> new FencingToken(stored.revision(), clock.now() + leaseWaitMilliseconds));
  }

  private static boolean isMissing(Throwable error) {
    return error instanceof StoreException failure
        && failure.reason() == StoreException.Reason.MISSING;
  }

  private JsonObject content(boolean hasOrdered) {
    writeCount++;
    return new JsonObject()
        .put(HOLDER, vm)
        .put(COUNT, vm + "-" + writeCount)
        .put(ORDERED, hasOrdered);
  }

  /** Notes in the store that this holder has ordered, so that the next one waits for a lease. */
  private void recordOrder(String group, FencingToken token, int attempt) {
    store
        .replace(KIND, group, content(true), token.value())
        .onFailure(
            error -> {
              boolean lockLost =
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
              if (!lockLost && attempt < MAXIMUM_RECORD_ATTEMPTS) {
                recordOrder(group, token, attempt + 1);
              }
            });
  }

  /** Orders that an endpoint leads its group. */
  Future<PromotionOrders.Outcome> promote(String group, String endpointId) {
    return fencingToken(group)
        .compose(token -> orderPromotion(group, endpointId, token))
        .recover(
            error -> {
              log.log(
                  EventKind.PROMOTION, "no token", "group", group, "reason", error.getMessage());
              return Future.succeededFuture(PromotionOrders.Outcome.UNAVAILABLE);
            });
  }

  private Future<PromotionOrders.Outcome> orderPromotion(
      String group, String endpointId, FencingToken token) {
    if (clock.now() < token.usableFrom()) {
      return Future.succeededFuture(PromotionOrders.Outcome.UNAVAILABLE);
    }
    if (recordedTokens.add(token.value())) {
      recordOrder(group, token, 1);
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
                heldTokens.remove(group, token);
              }
            });
  }
}
