package org.toucanmast.runtime.gateway;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import org.toucanmast.core.failover.PromotionLock;
import org.toucanmast.core.mirror.StoreEra;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.EntryFields;
import org.toucanmast.runtime.port.InvalidEntryException;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.PromotionOrders;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoredObject;

/**
 * Orders promotions under a promotion lock with a fencing token.
 *
 * <p>The lock of a group is an object in the store that names the VM that may order promotions. The
 * fencing token is made of the store's position of the change by which this VM acquired the lock.
 * The lock is acquired in advance, so that a promotion does not depend on the store. A token is
 * discarded when an order with it was refused or has an unknown outcome, and when the store was
 * restored from a copy, which may lack the acquisition.
 *
 * <p>When a lock holder orders a promotion, it records this in the object. A VM that takes the lock
 * over afterwards orders nothing for the time of a lease. The record is kept in the object through
 * all later changes of the holder: the wait also gives a VM that was cut off the time to learn
 * which endpoint is the primary.
 */
public final class PromotionCoordinator {
  /** Kind of the store's objects that name the lock holders. */
  private static final String KIND = "toucanmast-promotions";

  /**
   * How long a VM that takes the lock over from a holder that has ordered waits before its own
   * first order, so that their orders are at least this far apart.
   */
  private static final long LEASE_IN_MILLISECONDS = 3_500;

  /** Maximum attempts to record an order; each may take as long as a call to the store. */
  private static final int MAXIMUM_RECORD_ATTEMPTS = 3;

  /** Minimum interval between attempts to acquire the lock in advance. */
  private static final long ACQUISITION_RETRY_INTERVAL_IN_MILLISECONDS = 1_000;

  private static final String HOLDER = "holder";
  private static final String COUNT = "count";
  private static final String ORDERED = "ordered";
  private static final String ERA = "era";

  private final ObjectStore store;
  private final PromotionOrders orders;
  private final StoreEra era;
  private final EventLog log;
  private final String vm;
  private final VmClock clock;
  private final Map<String, FencingToken> heldTokens = new HashMap<>();
  private final Map<String, Future<FencingToken>> acquisitions = new HashMap<>();
  private final Map<String, Long> nextAcquisitionAt = new HashMap<>();
  private final Set<Long> recordedTokens = new HashSet<>();
  private LongConsumer eraListener = answered -> {};
  private long writeCount;

  /**
   * A fencing token.
   *
   * @param value the number that is sent with an order
   * @param acquired the store's position of the acquisition of the lock
   * @param usableFrom when the first order may be given, on the steady clock in milliseconds
   */
  private record FencingToken(long value, StorePosition acquired, long usableFrom) {}

  /**
   * Creates a coordinator that holds no locks.
   *
   * @param era the store's era, as far as this VM knows
   */
  public PromotionCoordinator(
      ObjectStore store,
      PromotionOrders orders,
      StoreEra era,
      VmClock clock,
      EventLog log,
      String vm) {
    this.era = era;
    this.clock = clock;
    this.store = store;
    this.orders = orders;
    this.log = log;
    this.vm = vm;
  }

  /** Sets who is told the eras in which the store answers. */
  public void setEraListener(LongConsumer listener) {
    eraListener = listener;
  }

  /** Discards all locks: the restored store may lack their acquisition. */
  public void onNewEra() {
    if (!heldTokens.isEmpty()) {
      log.log(
          EventKind.PROMOTION,
          "promotion locks of an earlier era discarded",
          "era",
          era.number(),
          "groups",
          List.copyOf(heldTokens.keySet()));
    }
    heldTokens.clear();
    nextAcquisitionAt.clear();
  }

  /**
   * Acquires the lock of a group unless this VM already holds it. A failure is logged, and a later
   * call tries again.
   */
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
                    EventKind.PROMOTION,
                    "no fencing token",
                    "group",
                    group,
                    "reason",
                    error.getMessage()));
  }

  /**
   * Returns whether a promotion may be ordered now: the lock is not held yet, or its token is
   * usable.
   */
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
            error -> isMissing(error) ? createLock(group) : Future.failedFuture(error))
        .compose(this::requirePresentEra);
  }

  private Future<FencingToken> createLock(String group) {
    long number = era.number();
    long usableFrom = usableFrom(Optional.empty(), number);
    return store
        .create(KIND, group, content(number, usableFrom > clock.now()))
        .map(stored -> token(stored, usableFrom(Optional.empty(), stored.position().era())));
  }

  private Future<FencingToken> takeOverLock(String group, StoredObject current) {
    PromotionLock previous = previousLock(group, current);
    long number = current.position().era();
    eraListener.accept(number);
    boolean mayHaveOrdered =
        previous.ordered() || usableFrom(Optional.of(previous), number) > clock.now();
    return store
        .replace(KIND, group, content(number, mayHaveOrdered), current.position())
        .map(stored -> token(stored, usableFrom(Optional.of(previous), number)));
  }

  /**
   * Returns what an object says about the lock before. One that cannot be read must not prevent
   * that the lock is taken over: it counts as a lock under which promotions may have been ordered.
   */
  private PromotionLock previousLock(String group, StoredObject current) {
    try {
      EntryFields fields = EntryFields.of(current.content());
      return new PromotionLock(
          fields.lacks(HOLDER) ? "" : fields.text(HOLDER),
          fields.lacks(ERA) ? 0 : fields.wholeNumber(ERA, 0, Long.MAX_VALUE),
          fields.lacks(ORDERED) || fields.flag(ORDERED));
    } catch (InvalidEntryException e) {
      log.log(
          EventKind.STORE_ENTRY,
          "promotion lock not readable; taken for one with orders",
          "objects",
          KIND,
          "object",
          group,
          "revision",
          current.revision(),
          "reason",
          current.problemOr(e));
      return new PromotionLock("", 0, true);
    }
  }

  private long usableFrom(Optional<PromotionLock> previous, long number) {
    return PromotionLock.usableFrom(
        previous, vm, number, era.beganAt(), LEASE_IN_MILLISECONDS, clock.now());
  }

  private static FencingToken token(StoredObject stored, long usableFrom) {
    return new FencingToken(stored.position().toNumber(), stored.position(), usableFrom);
  }

  /** Fails if the lock was acquired in an earlier era than this VM knows by now. */
  private Future<FencingToken> requirePresentEra(FencingToken token) {
    eraListener.accept(token.acquired().era());
    return token.acquired().era() >= era.number()
        ? Future.succeededFuture(token)
        : Future.failedFuture(
            new StoreException(
                StoreException.Reason.UNKNOWN,
                "expected the lock in era "
                    + era.number()
                    + " of the store but it was acquired in era "
                    + token.acquired().era()));
  }

  private static boolean isMissing(Throwable error) {
    return error instanceof StoreException failure
        && failure.reason() == StoreException.Reason.MISSING;
  }

  private JsonObject content(long number, boolean hasOrdered) {
    writeCount++;
    return new JsonObject()
        .put(HOLDER, vm)
        .put(ERA, number)
        .put(COUNT, vm + "-" + writeCount)
        .put(ORDERED, hasOrdered);
  }

  /**
   * Records in the store that this lock holder has ordered, so that the next holder waits for a
   * lease.
   */
  private void recordOrder(String group, FencingToken token, int attempt) {
    store
        .replace(KIND, group, content(token.acquired().era(), true), token.acquired())
        .onFailure(
            error -> {
              boolean lockLost =
                  error instanceof StoreException failure
                      && failure.reason() == StoreException.Reason.CONFLICT;
              log.log(
                  EventKind.PROMOTION,
                  "promotion order not recorded in the store",
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

  /**
   * Orders the promotion of an endpoint to the primary of its group. The outcome is {@link
   * PromotionOrders.Outcome#UNAVAILABLE} if the lock cannot be acquired or its token is not usable
   * yet.
   */
  Future<PromotionOrders.Outcome> promote(String group, String endpointId) {
    return fencingToken(group)
        .compose(token -> orderPromotion(group, endpointId, token))
        .recover(
            error -> {
              log.log(
                  EventKind.PROMOTION,
                  "no fencing token",
                  "group",
                  group,
                  "reason",
                  error.getMessage());
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
