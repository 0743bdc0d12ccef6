package org.toucanmast.runtime.fleet;

import io.vertx.core.json.JsonObject;
import java.util.Optional;

/**
 * A VM as it registered itself in the store.
 *
 * @param name its name
 * @param host its IP address
 * @param port its port for links
 * @param dataCentre where it runs
 * @param capacity its processor, in cores
 * @param incarnation differs in each run of the process
 */
public record FleetMember(
    String name, String host, int port, String dataCentre, double capacity, long incarnation) {
  private static final String HOST = "host";
  private static final String PORT = "port";
  private static final String DATA_CENTRE = "data_centre";
  private static final String CAPACITY = "capacity";
  private static final String INCARNATION = "incarnation";

  /** Returns whether another member listens at the same address. */
  boolean hasAddressOf(FleetMember other) {
    return host.equals(other.host) && port == other.port;
  }

  /** Returns the content of the member's object in the store. */
  public JsonObject toJson() {
    return new JsonObject()
        .put(HOST, host)
        .put(PORT, port)
        .put(DATA_CENTRE, dataCentre)
        .put(CAPACITY, capacity)
        .put(INCARNATION, incarnation);
  }

  /** Returns the member that an object describes; empty when it describes none. */
  public static Optional<FleetMember> of(String name, JsonObject content) {
    if (content == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new FleetMember(
              name,
              content.getString(HOST),
              content.getInteger(PORT),
              content.getString(DATA_CENTRE),
              content.getDouble(CAPACITY),
              content.getLong(INCARNATION)));
    } catch (ClassCastException | NullPointerException e) {
      return Optional.empty();
    }
  }
}
