package org.toucanmast.runtime.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.feature.Feature;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.gateway.GatewayContext;
import org.toucanmast.runtime.gateway.GroupGateway;
import org.toucanmast.runtime.port.InvalidEntryException;
import org.toucanmast.runtime.port.PlatformModel;
import org.toucanmast.runtime.port.StoredObject;
import org.toucanmast.runtime.store.KindMirror;

/** The gateways of this VM, one for each group, and the endpoints that the store lists. */
final class GroupGateways {
  /** Interval between checks of running and waiting statements. */
  private static final long SWEEP_INTERVAL_IN_MILLISECONDS = 25;

  /** Interval between two checks for groups that neither the store nor the configuration names. */
  private static final long FORGET_INTERVAL_IN_MILLISECONDS = 5_000;

  /** The interval at a VM whose gateways have no work; short enough to replace a lost primary. */
  private static final long IDLE_SWEEP_INTERVAL_IN_MILLISECONDS = 200;

  private final GatewayContext context;
  private final PlatformModel model;
  private final EventLog log;
  private final GatewayRouter router;
  private final Map<String, GroupGateway> gateways = new HashMap<>();
  private final Map<String, EndpointEntry> entries = new HashMap<>();
  private final Map<String, Long> takenOut = new TreeMap<>();
  private long sweepTimer;
  private long forgottenAt;
  private boolean frequentSweeps;
  private boolean refusing;
  private boolean closed;

  GroupGateways(GatewayContext context, PlatformModel model, EventLog log, GatewayRouter router) {
    this.router = router;
    this.context = context;
    this.model = model;
    this.log = log;
  }

  private GroupGateway gateway(String group) {
    return gateways.computeIfAbsent(group, this::newGateway);
  }

  private GroupGateway newGateway(String group) {
    GroupGateway gateway = new GroupGateway(context, group);
    if (refusing) {
      gateway.refuseStatements();
    }
    if (closed) {
      gateway.close();
    }
    return gateway;
  }

  /**
   * Runs a statement. A statement of a group without a known endpoint is refused at once instead of
   * waiting until its deadline: it has not run.
   */
  void execute(StatementRequest request, VmRun origin, Consumer<StatementResult> consumer) {
    if (context.isEnabled(Feature.LOCAL_HEALTH) && !hasEndpoints(request.group())) {
      consumer.accept(
          StatementResult.failure(ResultCode.BUSY, "no endpoint of the group is known"));
      return;
    }
    gateway(request.group()).execute(request, origin, consumer);
    sweepFrequently();
  }

  void onCatalog(Catalog catalog) {
    context.setCatalog(catalog);
    gateways.values().forEach(GroupGateway::onConfigurationChanged);
  }

  /** Returns the listener for the mirror of the endpoints' entries. */
  KindMirror.Listener endpointListener() {
    return new KindMirror.Listener() {
      @Override
      public void onObject(StoredObject object, long changedSince) {
        onEndpoint(object, changedSince);
      }

      @Override
      public void onObjectRemoved(String name) {
        removeEndpoint(name);
      }
    };
  }

  private void onEndpoint(StoredObject object, long changedSince) {
    EndpointEntry entry;
    try {
      entry = model.endpoint(object.name(), object.content());
    } catch (InvalidEntryException e) {
      log.log(
          EventKind.STORE_ENTRY,
          "endpoint entry not usable",
          "objects",
          model.endpointKind(),
          "object",
          object.name(),
          "revision",
          object.revision(),
          "reason",
          object.problemOr(e));
      removeEndpoint(object.name());
      return;
    }
    EndpointEntry previous = entries.put(object.name(), entry);
    if (previous != null && !previous.group().equals(entry.group())) {
      gateway(previous.group()).onEndpointRemoved(object.name());
    }
    log.log(EventKind.ENDPOINT, "entry", "endpoint", object.name(), "entry", entry);
    router.onEndpoint(entry.group(), entry.dataCentre());
    gateway(entry.group()).onEndpointUpdated(entry, changedSince);
  }

  private void removeEndpoint(String name) {
    EndpointEntry previous = entries.remove(name);
    if (previous != null) {
      log.log(EventKind.ENDPOINT, "endpoint entry removed", "endpoint", name);
      gateway(previous.group()).onEndpointRemoved(name);
    }
  }

  /** Returns the listener for the mirror of the data centres that are taken out. */
  KindMirror.Listener dataCentreListener() {
    return new KindMirror.Listener() {
      @Override
      public void onObject(StoredObject object, long changedSince) {
        takenOut.merge(object.name(), changedSince, Math::min);
        onTakenOutChanged();
      }

      @Override
      public void onObjectRemoved(String name) {
        takenOut.remove(name);
        onTakenOutChanged();
      }
    };
  }

  private void onTakenOutChanged() {
    log.log(EventKind.CONFIGURATION, "data centres taken out", "data_centres", takenOut.keySet());
    context.setTakenOut(takenOut);
    gateways.values().forEach(GroupGateway::onConfigurationChanged);
  }

  void onOriginLost(VmRun origin) {
    gateways.values().forEach(gateway -> gateway.onOriginLost(origin));
  }

  /** Discards the ages of observations after the clocks disagreed. */
  void discardObservationAges() {
    gateways.values().forEach(GroupGateway::discardObservationTimes);
  }

  /** Sweeps the gateways, now and repeatedly: often only while some of them have work. */
  void startSweeping() {
    context.timerDelay().onTimer(context.clock().now());
    gateways.values().forEach(GroupGateway::sweep);
    long now = context.clock().now();
    if (now - forgottenAt >= FORGET_INTERVAL_IN_MILLISECONDS) {
      forgottenAt = now;
      forgetUnknownGroups();
    }
    frequentSweeps =
        gateways.values().stream().anyMatch(gateway -> gateway.needsFrequentSweeps(now));
    long interval =
        frequentSweeps ? SWEEP_INTERVAL_IN_MILLISECONDS : IDLE_SWEEP_INTERVAL_IN_MILLISECONDS;
    context.timerDelay().expectTimer(now + interval);
    sweepTimer = context.vertx().setTimer(interval, fired -> startSweeping());
  }

  /**
   * Drops what is kept of groups that have no endpoints and no work and that the configuration does
   * not name: entries of other writers may name any number of them.
   */
  private void forgetUnknownGroups() {
    Set<String> known = groups();
    known.addAll(context.configuredGroups());
    router.retainGroups(known);
    context.retainGroups(known);
    gateways
        .entrySet()
        .removeIf(
            entry -> {
              boolean isUnknown = !known.contains(entry.getKey()) && entry.getValue().isIdle();
              if (isUnknown) {
                entry.getValue().close();
              }
              return isUnknown;
            });
  }

  /** Returns the number of groups for which this VM keeps a gateway. */
  int size() {
    return gateways.size();
  }

  private void sweepFrequently() {
    if (!frequentSweeps && context.vertx().cancelTimer(sweepTimer)) {
      startSweeping();
    }
  }

  private boolean hasEndpoints(String group) {
    for (EndpointEntry entry : entries.values()) {
      if (entry.group().equals(group)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the groups that have endpoints. */
  Set<String> groups() {
    Set<String> groups = new TreeSet<>();
    entries.values().forEach(entry -> groups.add(entry.group()));
    return groups;
  }

  boolean isIdle() {
    return gateways.values().stream().allMatch(GroupGateway::isIdle);
  }

  boolean hasEndpoints() {
    return !entries.isEmpty();
  }

  /** Lets the gateways, and those of groups that become known later, start no statement. */
  void refuseStatements() {
    refusing = true;
    gateways.values().forEach(GroupGateway::refuseStatements);
  }

  /** Closes the gateways, and those of groups that become known later. */
  void close() {
    closed = true;
    gateways.values().forEach(GroupGateway::close);
  }
}
