package org.toucanmast.standin.fleet;

import io.vertx.core.json.JsonObject;

/**
 * An entry VM of a fleet.
 *
 * @param name the name of the VM
 * @param dataCentre the name of the data centre in which it runs
 * @param callerAddress the address of the listener for callers
 * @param adminAddress the address of the admin listener: health, metrics and status
 * @param peerAddress the address at which peers reach it, as the platform lists it
 * @param process the process of the VM
 */
public record FleetVm(
    String name,
    String dataCentre,
    String callerAddress,
    String adminAddress,
    String peerAddress,
    FleetProcess process) {

  /** Returns the VM's entry in the platform's list. */
  JsonObject toJson() {
    return new JsonObject()
        .put("name", name)
        .put("dataCentre", dataCentre)
        .put("peerAddress", peerAddress);
  }
}
