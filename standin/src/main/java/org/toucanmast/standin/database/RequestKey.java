package org.toucanmast.standin.database;

import io.vertx.core.json.JsonObject;

/**
 * Identifies a request among those of all customers.
 *
 * @param customer the customer, which chooses the ids of its requests
 * @param requestId the id of the request
 */
record RequestKey(String customer, String requestId) {

  /** Returns the key of the request that a call belongs to. */
  static RequestKey of(JsonObject call) {
    return new RequestKey(call.getString("customer", ""), call.getString("requestId"));
  }
}
