package org.toucanmast.runtime.fleet;

import io.vertx.core.json.JsonObject;
import org.toucanmast.core.membership.VmDescription;
import org.toucanmast.runtime.port.EntryFields;
import org.toucanmast.runtime.port.InvalidEntryException;

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
  private static final int HIGHEST_PORT = 65_535;

  /** Far above the cores of any machine; a VM with more would be given all work. */
  private static final double MAXIMUM_CAPACITY = 10_000;

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

  /**
   * Decodes the member from the content of its object, which another writer may have changed.
   *
   * @throws InvalidEntryException if the content names no VM that can be placed and connected to
   */
  public static FleetMember of(String name, JsonObject content) throws InvalidEntryException {
    EntryFields fields = EntryFields.of(content);
    return new FleetMember(
        name,
        fields.text(HOST),
        (int) fields.wholeNumber(PORT, 1, HIGHEST_PORT),
        fields.text(DATA_CENTRE),
        fields.positiveNumber(CAPACITY, MAXIMUM_CAPACITY),
        fields.wholeNumber(INCARNATION, 0, Long.MAX_VALUE));
  }
}
