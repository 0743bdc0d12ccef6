package org.toucanmast.runtime.vm;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import org.toucanmast.core.configuration.ConfigurationState;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.membership.EpochAdoption;
import org.toucanmast.runtime.endpoint.EndpointJson;
import org.toucanmast.runtime.endpoint.EndpointPool;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.runtime.membership.PeerTable;

/** Creates the JSON status report of a VM for operators. */
final class StatusReport {
  private StatusReport() {}

  static JsonObject of(
      String self,
      boolean ready,
      ConfigurationState configuration,
      PeerTable peers,
      EpochAdoption epochGate,
      Map<String, DatabaseGroup> groups,
      long now) {
    JsonArray members = new JsonArray();
    epochGate.newest().members().forEach(members::add);
    JsonObject live = new JsonObject();
    new TreeMap<>(peers.liveVms(now)).forEach(live::put);
    JsonObject databases = new JsonObject();
    new TreeMap<>(groups).forEach((name, group) -> databases.put(name, describe(group, now)));
    JsonArray customers = new JsonArray();
    new TreeMap<>(configuration.current().customers()).keySet().forEach(customers::add);
    return new JsonObject()
        .put("vm", self)
        .put("ready", ready)
        .put("configurationRevision", configuration.current().revision())
        .put("configurationAgeNanoseconds", configuration.confirmationAgeInNanoseconds(now))
        .put("epoch", epochGate.newest().number())
        .put("adoptedEpoch", epochGate.adopted(now).number())
        .put("ownsShare", epochGate.mayUseShare(now))
        .put("members", members)
        .put("liveVms", live)
        .put("customers", customers)
        .put("databases", databases);
  }

  private static JsonObject describe(DatabaseGroup group, long now) {
    JsonObject endpoints = new JsonObject();
    for (EndpointStatus status : group.view().statuses()) {
      endpoints.put(
          status.endpoint(),
          EndpointJson.ofStatus(status)
              .put(
                  "connections",
                  group.pool(status.endpoint()).map(EndpointPool::describe).orElse("")));
    }
    return new JsonObject()
        .put("primary", group.view().primary().orElse(""))
        .put("term", group.view().term())
        .put("confirmedAgoNanoseconds", group.view().confirmationAge(now))
        .put("ordersByThisVm", group.orderCount())
        .put("rounds", group.observer().roundCount())
        .put("endpoints", endpoints);
  }
}
