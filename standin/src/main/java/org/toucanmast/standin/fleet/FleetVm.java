package org.toucanmast.standin.fleet;

import io.vertx.core.json.JsonObject;

/**
 * One entry VM of a fleet.
 *
 * @param name its name
 * @param dataCentre where it runs
 * @param callers the address for callers
 * @param admin the address for health, metrics and status
 * @param listedPeers the address at which peers reach it
 * @param process its process
 */
public record FleetVm(
    String name,
    String dataCentre,
    String callers,
    String admin,
    String listedPeers,
    FleetProcess process) {

  JsonObject listed() {
    return new JsonObject()
        .put("name", name)
        .put("dataCentre", dataCentre)
        .put("peerAddress", listedPeers);
  }
}
