package org.toucanmast.core.membership;

import java.util.Objects;

/**
 * One run of the process of a VM. A VM that is restarted keeps its name; what its former run has
 * left open belongs to that run only.
 *
 * @param vm the name of the VM, unique in the fleet
 * @param incarnation a number that differs in each run of the process
 */
public record VmRun(String vm, long incarnation) {
  /** Checks that the name is present. */
  public VmRun {
    Objects.requireNonNull(vm, "vm");
  }
}
