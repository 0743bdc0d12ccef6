package org.toucanmast.runtime.fleet;

import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.toucanmast.core.membership.VmDescription;

/**
 * A VM of the fleet, as registered in the object store.
 *
 * @param name the name of the VM, unique in the fleet
 * @param host the IP address
 * @param port the port for links from peers
 * @param dataCentre the data centre that the VM runs in
 * @param capacity the processor capacity, in cores
 * @param incarnation a number that differs in each run of the process
 */
public record FleetMember(
    String name, String host, int port, String dataCentre, double capacity, long incarnation) {
  private static final String HOST = "host";
  private static final String PORT = "port";
  private static final String DATA_CENTRE = "data_centre";
  private static final String CAPACITY = "capacity";
  private static final String INCARNATION = "incarnation";

  /** Returns whether another member has the same IP address and port. */
  boolean hasAddressOf(FleetMember other) {
    return host.equals(other.host) && port == other.port;
  }

  /** Returns what placement needs to know about the VM. */
  public VmDescription description() {
    return new VmDescription(name, dataCentre, capacity);
  }

  /** Encodes the member as the content of its object in the store. */
  public JsonObject toJson() {
    return new JsonObject()
        .put(HOST, host)
        .put(PORT, port)
        .put(DATA_CENTRE, dataCentre)
        .put(CAPACITY, capacity)
        .put(INCARNATION, incarnation);
  }

  /** Decodes the member from the content of its object; empty if the content is not valid. */
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
