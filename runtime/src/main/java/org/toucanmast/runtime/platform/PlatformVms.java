package org.toucanmast.runtime.platform;

import java.util.Map;
import java.util.Set;

/**
 * The platform's list of VMs, which lags behind the truth.
 *
 * @param live live VMs by name, leaving ones included
 * @param leaving names of VMs that are being taken away
 */
public record PlatformVms(Map<String, ListedVm> live, Set<String> leaving) {

  /**
   * One VM of the list.
   *
   * @param name its name
   * @param dataCentre where it runs
   * @param peerAddress the address of its peer listener
   */
  public record ListedVm(String name, String dataCentre, String peerAddress) {}

  /** Keeps copies. */
  public PlatformVms {
    live = Map.copyOf(live);
    leaving = Set.copyOf(leaving);
  }
}
