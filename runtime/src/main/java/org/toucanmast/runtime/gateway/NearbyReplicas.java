package org.toucanmast.runtime.gateway;

import java.util.Map;
import org.toucanmast.core.gateway.Admission;
import org.toucanmast.core.gateway.NearbyRead;

/** The replicas of a group in the gateway's own data centre, for the reads that arrive there. */
final class NearbyReplicas {
  private final String dataCentre;
  private final Map<String, EndpointPool> pools;
  private final PrimaryMonitor primaryMonitor;

  NearbyReplicas(
      String dataCentre, Map<String, EndpointPool> pools, PrimaryMonitor primaryMonitor) {
    this.dataCentre = dataCentre;
    this.pools = pools;
    this.primaryMonitor = primaryMonitor;
  }

  /** Returns whether an endpoint is a replica in the gateway's data centre. */
  boolean contains(EndpointPool pool) {
    return pool.entry().dataCentre().equals(dataCentre)
        && !primaryMonitor.isPrimary(pool.entry().id());
  }

  /**
   * Returns whether a read that has just arrived runs on one of these replicas.
   *
   * @param waiting the number of statements that wait at the gateway
   * @param now the current time, in milliseconds
   */
  boolean accept(int waiting, long now) {
    int slots = 0;
    int startable = 0;
    int usable = 0;
    double serviceMilliseconds = 0;
    for (EndpointPool pool : pools.values()) {
      if (contains(pool) && pool.acceptsWork() && pool.isReachable(now)) {
        usable++;
        slots += pool.usableSlots(now);
        startable += pool.canStart(now) ? 1 : 0;
        serviceMilliseconds += pool.serviceTimes().mean();
      }
    }
    double wait =
        Admission.expectedWait(
            waiting, slots, startable, serviceMilliseconds / Math.max(1, usable));
    return new NearbyRead(usable > 0, wait).runsNearby();
  }
}
