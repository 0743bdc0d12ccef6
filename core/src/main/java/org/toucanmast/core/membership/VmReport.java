package org.toucanmast.core.membership;

import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What one VM reports about itself and the peers that it monitors. Only that VM writes new versions
 * of its report, so that reports from different VMs never conflict.
 *
 * @param vm the VM that reports
 * @param incarnation a number that increases with each run of the VM's process
 * @param version a number that increases with each change of the report in one run
 * @param leaving whether the VM is about to stop and accepts no new work
 * @param storeRefused whether the store does not answer the VM
 * @param suspected the monitored peers that do not answer the VM
 */
public record VmReport(
    String vm,
    long incarnation,
    long version,
    boolean leaving,
    boolean storeRefused,
    SortedSet<String> suspected) {

  /** Copies the set of suspected peers. */
  public VmReport {
    suspected = new TreeSet<>(suspected);
  }

  /** Returns the report of a VM from which none has been received. */
  public static VmReport initial(String vm) {
    return new VmReport(vm, 0, 0, false, false, new TreeSet<>());
  }

  /** Returns whether this report replaces another one of the same VM. */
  boolean isNewerThan(VmReport other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : version > other.version;
  }
}
