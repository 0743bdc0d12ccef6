package org.toucanmast.runtime.platform;

import java.util.Map;
import java.util.Set;

/**
 * The platform's list of VMs, which may be out of date.
 *
 * @param live the live VMs by name, including those that are leaving
 * @param leaving the names of the VMs that are being removed
 */
public record PlatformVms(Map<String, ListedVm> live, Set<String> leaving) {

  /**
   * A VM of the list.
   *
   * @param name the VM's name
   * @param dataCentre the data centre that it runs in
   * @param peerAddress the address of its peer listener
   */
  public record ListedVm(String name, String dataCentre, String peerAddress) {}

  /** Copies the collections. */
  public PlatformVms {
    live = Map.copyOf(live);
    leaving = Set.copyOf(leaving);
  }
}
