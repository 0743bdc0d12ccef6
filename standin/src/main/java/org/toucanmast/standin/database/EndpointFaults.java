package org.toucanmast.standin.database;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashSet;
import java.util.Set;

/**
 * The injected faults of an endpoint.
 *
 * @param crashed the endpoint closes its connections and every new one
 * @param frozen it withholds requests and results, and processes them when the fault is cleared
 * @param cutFromGroup no entry is replicated to or from it
 * @param blockedVms the names of VMs whose requests it discards without an answer
 * @param loseAnswers it executes calls, and closes the connection instead of answering
 * @param losePromotionAnswers it executes {@code /promote}, and closes the connection instead of
 *     answering
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

  /** Reads the faults from JSON; a fault that the JSON does not name is absent. */
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
