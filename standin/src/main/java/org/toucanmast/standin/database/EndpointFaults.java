package org.toucanmast.standin.database;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashSet;
import java.util.Set;

/**
 * What is wrong with an endpoint.
 *
 * @param crashed it closes every connection
 * @param frozen it holds every request until it wakes, then serves them
 * @param cutFromGroup nothing is replicated to or from it
 * @param blockedVms VMs whose requests get lost on the way
 * @param loseAnswers it runs requests and closes the connection instead of answering
 * @param losePromotionAnswers the same for orders of a promotion
 */
record EndpointFaults(
    boolean crashed,
    boolean frozen,
    boolean cutFromGroup,
    Set<String> blockedVms,
    boolean loseAnswers,
    boolean losePromotionAnswers) {
  static final EndpointFaults NONE =
      new EndpointFaults(false, false, false, Set.of(), false, false);

  EndpointFaults {
    blockedVms = Set.copyOf(blockedVms);
  }

  /** Reads an order; what it does not name is healthy. */
  static EndpointFaults ofJson(JsonObject json) {
    Set<String> blocked = new HashSet<>();
    json.getJsonArray("blockedVms", new JsonArray()).forEach(vm -> blocked.add((String) vm));
    return new EndpointFaults(
        json.getBoolean("crashed", false),
        json.getBoolean("frozen", false),
        json.getBoolean("cutFromGroup", false),
        blocked,
        json.getBoolean("loseAnswers", false),
        json.getBoolean("losePromotionAnswers", false));
  }
}
