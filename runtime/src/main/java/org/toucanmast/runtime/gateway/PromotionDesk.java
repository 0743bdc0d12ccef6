package org.toucanmast.runtime.gateway;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;
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
 * token that was refused, or whose order has no known outcome, is not used again.
 */
public final class PromotionDesk {
  /** The kind of the objects that name the holders. */
  private static final String KIND = "toucanmast-promotions";

  private static final String HOLDER = "holder";
  private static final String COUNT = "count";

  private final ObjectStore store;
  private final PromotionOrders orders;
  private final EventLog log;
  private final String vm;
  private final Map<String, Long> tokens = new HashMap<>();
  private final Map<String, Future<Long>> taking = new HashMap<>();
  private long count;

  /** Creates a desk without tokens. */
  public PromotionDesk(ObjectStore store, PromotionOrders orders, EventLog log, String vm) {
    this.store = store;
    this.orders = orders;
    this.log = log;
    this.vm = vm;
  }

  /** Returns a token for a group, from the store when none is held. */
  Future<Long> token(String group) {
    Long held = tokens.get(group);
    if (held != null) {
      return Future.succeededFuture(held);
    }
    return taking.computeIfAbsent(
        group,
        any ->
            take(group)
                .onComplete(
                    result -> {
                      taking.remove(group);
                      if (result.succeeded()) {
                        tokens.put(group, result.result());
                      }
                    }));
  }

  private Future<Long> take(String group) {
    return store
        .get(KIND, group)
        .compose(
            object -> store.replace(KIND, group, content(), object.revision()),
            error -> isMissing(error) ? store.create(KIND, group, content()) : failed(error))
        .map(StoredObject::revision);
  }

  private static Future<StoredObject> failed(Throwable error) {
    return Future.failedFuture(error);
  }

  private static boolean isMissing(Throwable error) {
    return error instanceof StoreException failure
        && failure.reason() == StoreException.Reason.MISSING;
  }

  private JsonObject content() {
    count++;
    return new JsonObject().put(HOLDER, vm).put(COUNT, vm + "-" + count);
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

  private Future<PromotionOrders.Outcome> order(String group, String endpointId, long token) {
    return orders
        .promote(group, endpointId, vm, token)
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
                  token,
                  "outcome",
                  outcome);
              if (outcome == PromotionOrders.Outcome.REFUSED
                  || outcome == PromotionOrders.Outcome.UNKNOWN) {
                tokens.remove(group, token);
              }
            });
  }
}
