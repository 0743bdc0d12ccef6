package org.toucanmast.core.membership;

import java.util.Objects;

/**
 * What the placement of work needs to know about a VM.
 *
 * @param name the name of the VM, unique in the fleet
 * @param dataCentre the data centre that the VM runs in
 * @param capacity the processor capacity, in cores
 */
public record VmDescription(String name, String dataCentre, double capacity) {
  /** Checks that the name and the data centre are present. */
  public VmDescription {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}
