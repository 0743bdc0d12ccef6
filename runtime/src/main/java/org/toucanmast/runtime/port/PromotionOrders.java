package org.toucanmast.runtime.port;

import io.vertx.core.Future;

/** Orders promotions at the platform. */
public interface PromotionOrders {

  /** What became of an order. */
  enum Outcome {
    /** The endpoint will lead the next term, or leads already. */
    ACCEPTED,
    /** A newer token was seen, or the endpoint does not run. */
    REFUSED,
    /** Nothing was done; it may be ordered again. */
    UNAVAILABLE,
    /** No answer came; the order may still be carried out. */
    UNKNOWN
  }

  /**
   * Orders that an endpoint leads its group.
   *
   * @param fencingToken orders with a lower token than one seen before are refused
   */
  Future<Outcome> promote(String group, String endpointId, String holder, long fencingToken);
}
