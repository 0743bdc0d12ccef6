package org.toucanmast.runtime.session;

import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.feature.Feature;
import org.toucanmast.core.mirror.ChangePromises;
import org.toucanmast.core.usage.UsageTiming;
import org.toucanmast.runtime.fleet.FleetMember;

/**
 * The settings of a VM that serves sessions.
 *
 * @param name the name of the VM, unique in the fleet
 * @param host the IP address
 * @param callerPort the port for callers
 * @param linkPort the port for links from peers
 * @param dataCentre the data centre that the VM runs in
 * @param capacity the processor capacity, in cores
 * @param graceInMilliseconds the time between the request to stop and the end of the process
 * @param promises how soon acknowledged changes must have taken effect
 * @param features the parts of the product that are switched on
 * @param usage when usage is reported; empty if it is not reported
 */
public record SessionVmSettings(
    String name,
    String host,
    int callerPort,
    int linkPort,
    String dataCentre,
    double capacity,
    long graceInMilliseconds,
    ChangePromises promises,
    Set<Feature> features,
    Optional<UsageTiming> usage) {
  /** Creates settings with an unmodifiable copy of the features. */
  public SessionVmSettings {
    features = Set.copyOf(features);
  }

  /** Returns this VM as a member of the fleet, in the given run of its process. */
  FleetMember member(long incarnation) {
    return new FleetMember(name, host, linkPort, dataCentre, capacity, incarnation);
  }
}
