package org.toucanmast.runtime.session;

import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.InvalidEntryException;
import org.toucanmast.runtime.port.PlatformModel;
import org.toucanmast.runtime.port.StoredObject;
import org.toucanmast.runtime.store.KindMirror;

/** Puts each newer version of the configuration into force. */
final class ConfigurationListener implements KindMirror.Listener {
  private final PlatformModel model;
  private final SessionContext sessions;
  private final SessionAllowances allowances;
  private final GroupGateways gateways;
  private final EventLog log;

  ConfigurationListener(
      PlatformModel model,
      SessionContext sessions,
      SessionAllowances allowances,
      GroupGateways gateways,
      EventLog log) {
    this.model = model;
    this.sessions = sessions;
    this.allowances = allowances;
    this.gateways = gateways;
    this.log = log;
  }

  @Override
  public void onObject(StoredObject object, long changedSince) {
    if (object.name().equals(model.configurationName())) {
      onConfiguration(object);
    }
  }

  @Override
  public void onObjectRemoved(String name) {
    log.log(EventKind.CONFIGURATION, "configuration deleted; the last one stays in force");
  }

  private void onConfiguration(StoredObject object) {
    Catalog received;
    try {
      received = model.catalog(object.content());
    } catch (InvalidEntryException e) {
      log.log(
          EventKind.STORE_ENTRY,
          "configuration not usable; the last one stays in force",
          "objects",
          model.configurationKind(),
          "object",
          object.name(),
          "revision",
          object.revision(),
          "reason",
          object.problemOr(e));
      return;
    }
    Catalog newest = sessions.catalog().newest(received);
    if (newest != received) {
      log.log(
          EventKind.CONFIGURATION,
          "configuration ignored",
          "version",
          received.version(),
          "in_force",
          newest.version());
      return;
    }
    log.log(
        EventKind.CONFIGURATION,
        "configuration in force",
        "version",
        received.version(),
        "revision",
        object.revision(),
        "routes",
        received.routesByDatabase().size(),
        "keys_moved",
        received.keysMovedSince(sessions.catalog()));
    received
        .leftOut()
        .forEach(
            problem ->
                log.log(
                    EventKind.CONFIGURATION,
                    "part of the configuration not usable and left out",
                    "version",
                    received.version(),
                    "reason",
                    problem));
    sessions.setCatalog(received);
    allowances.onCatalog(received.customersByKey().values());
    gateways.onCatalog(received);
  }
}
