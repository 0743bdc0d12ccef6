package org.toucanmast.runtime.session;

import org.toucanmast.core.feature.Feature;
import org.toucanmast.runtime.fleet.FleetLinks;

/** What a VM must know before its sessions start. */
record StartConditions(
    SessionVmSettings settings,
    SessionContext sessions,
    StoreMirrors mirrors,
    FleetMembership membership,
    FleetRegistry registry,
    GroupGateways gateways,
    GatewayRouter router,
    FleetLinks links)
    implements SessionStart.Conditions {
  @Override
  public boolean isConfigurationKnown() {
    return sessions.catalog().isLoaded();
  }

  @Override
  public boolean isLoaded() {
    return mirrors.areLoaded();
  }

  @Override
  public boolean areNeighboursKnown() {
    boolean heardFromPeers = mirrors.hasHeardFromPeers() || membership.reachable().size() <= 1;
    return membership.areNeighboursKnown() && heardFromPeers;
  }

  @Override
  public boolean arePathsOpen() {
    return !settings.features().contains(Feature.LOCAL_HEALTH)
        || registry.isRegistered() && gateways.groups().stream().allMatch(this::isPathKnown);
  }

  /** Opens the link to the gateway of a group; returns whether it is known to answer or not. */
  private boolean isPathKnown(String group) {
    String gateway = router.rank(group).get(0);
    return gateway.equals(settings.name()) || links.prepare(gateway);
  }
}
