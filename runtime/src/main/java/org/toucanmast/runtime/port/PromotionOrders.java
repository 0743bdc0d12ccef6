package org.toucanmast.runtime.port;

import io.vertx.core.Future;

/** Sends promotion orders to the platform. */
public interface PromotionOrders {

  /** The platform's answer to an order. */
  enum Outcome {
    /** The endpoint becomes the primary in the next term, or is the primary already. */
    ACCEPTED,
    /** The platform has seen a newer fencing token, or the endpoint is not running. */
    REFUSED,
    /** The platform did nothing; the order can be retried. */
    UNAVAILABLE,
    /** No answer was received; the order may still be executed. */
    UNKNOWN
  }

  /**
   * Orders the promotion of an endpoint to primary of its group.
   *
   * @param holder the VM that holds the promotion lock of the group
   * @param fencingToken the platform refuses an order if it has seen a higher token
   */
  Future<Outcome> promote(String group, String endpointId, String holder, long fencingToken);
}
