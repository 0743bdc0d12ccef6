package org.toucanmast.runtime.session;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.membership.Rendezvous;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.fleet.FleetHost;
import org.toucanmast.runtime.fleet.FleetLinks;
import org.toucanmast.runtime.fleet.FleetMember;
import org.toucanmast.runtime.gateway.GatewayContext;
import org.toucanmast.runtime.gateway.PromotionDesk;
import org.toucanmast.runtime.port.CallerDialect;
import org.toucanmast.runtime.port.EndpointDialect;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.PlatformModel;
import org.toucanmast.runtime.port.PromotionOrders;
import org.toucanmast.runtime.port.StoredObject;
import org.toucanmast.runtime.store.KindMirror;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.MirrorObject;
import org.toucanmast.schema.MirrorPush;
import org.toucanmast.schema.MirrorState;
import org.toucanmast.schema.TokenAsk;
import org.toucanmast.schema.TokenGrant;
import org.toucanmast.schema.TokenReturn;

/**
 * A VM that serves sessions: its listeners, its gateways, and what it follows in the store.
 *
 * <p>All of it runs on one event loop, so that a statement wakes one thread only.
 */
public final class SessionVm implements FleetHost {
  /** Between two looks at what runs and waits. */
  private static final long SWEEP_INTERVAL_IN_MILLISECONDS = 25;

  /** Between two questions to peers for what the store told them; an answer may be large. */
  private static final long PULL_INTERVAL_IN_MILLISECONDS = 300;

  /** Between two looks at which VMs are gone for good. */
  private static final long REAP_INTERVAL_IN_MILLISECONDS = 5_000;

  /** An attempt to connect that takes longer has failed: many round trips. */
  private static final int CONNECT_TIMEOUT_IN_MILLISECONDS = 500;

  /** Connections that wait to be accepted; all clients of a data centre may return at once. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /** How long a watch waits; a silent connection to the store is noticed after it. */
  private static final long CONFIGURATION_WAIT_IN_MILLISECONDS = 4_000;

  private static final long ENDPOINT_WAIT_IN_MILLISECONDS = 5_000;
  private static final long TAKEN_OUT_WAIT_IN_MILLISECONDS = 8_000;
  private static final long MEMBER_WAIT_IN_MILLISECONDS = 15_000;

  /** While stopping, new sessions still come until the balancer has seen two refused probes. */
  private static final long BALANCER_NOTICES_IN_MILLISECONDS = 2_300;

  /** Part of the grace period after which the process ends in any case. */
  private static final double LAST_MOMENT = 0.85;

  private static final long SETTLE_CHECK_INTERVAL_IN_MILLISECONDS = 10;

  /** Sessions begin after this in any case: callers give up an opening after two seconds. */
  private static final long SETTLED_AFTER_IN_MILLISECONDS = 700;

  private static final long STOP_CHECK_INTERVAL_IN_MILLISECONDS = 50;

  private final Vertx vertx;
  private final SessionVmSettings settings;
  private final VmClock clock;
  private final EventLog log;
  private final PlatformModel model;
  private final SessionContext sessions;
  private final QuotaDesk quota;
  private final GatewayRouter router;
  private final GroupGateways gateways;
  private final FleetLinks links;
  private final FleetRegistry registry;
  private final Map<String, KindMirror> mirrors = new HashMap<>();
  private final Map<String, Long> pulledAt = new HashMap<>();
  private final Set<CallerSession> open = new HashSet<>();
  private boolean leaving;
  private long startedAt;

  /** What the VM is built on. */
  public record Ports(
      CallerDialect callers,
      EndpointDialect endpoints,
      ObjectStore store,
      PromotionOrders promotions,
      PlatformModel model) {}

  /** Creates a VM; nothing is opened yet. Must be called on the event loop. */
  public SessionVm(
      Vertx vertx, SessionVmSettings settings, Ports ports, EventLog log, MetricRegistry metrics) {
    this.vertx = vertx;
    this.settings = settings;
    this.clock = new VmClock();
    this.log = log;
    this.model = ports.model();
    NetClient client =
        vertx.createNetClient(
            new NetClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_IN_MILLISECONDS)
                .setTcpNoDelay(true)
                .setReconnectAttempts(0));
    GatewayContext context =
        new GatewayContext(
            vertx,
            client,
            ports.endpoints(),
            clock,
            log,
            new PromotionDesk(ports.store(), ports.promotions(), clock, log, settings.name()));
    this.gateways = new GroupGateways(context, model, log);
    long incarnation = System.currentTimeMillis();
    this.links =
        new FleetLinks(
            client,
            vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true)),
            clock,
            log,
            this,
            settings.name(),
            incarnation);
    this.router = new GatewayRouter();
    context.setFirstGateway(group -> router.isFirst(group, settings.name()));
    this.quota = new QuotaDesk(vertx, clock, log, settings.name(), links);
    this.sessions =
        new SessionContext(
            ports.callers(),
            clock,
            log,
            new StatementSender(settings.name(), this, links, router, clock, log),
            quota,
            new SessionMetrics(metrics));
    FleetMember self =
        new FleetMember(
            settings.name(),
            settings.host(),
            settings.linkPort(),
            settings.dataCentre(),
            settings.capacity(),
            incarnation);
    this.registry =
        new FleetRegistry(
            vertx, ports.store(), clock, log, self, links, this::onReachabilityChanged);
    clock.addDisagreementListener(this::onClocksDisagree);
    follow(ports.store());
  }

  private void follow(ObjectStore store) {
    mirror(store, model.configurationKind(), CONFIGURATION_WAIT_IN_MILLISECONDS, catalogs());
    mirror(store, model.endpointKind(), ENDPOINT_WAIT_IN_MILLISECONDS, gateways.endpoints());
    mirror(store, model.takenOutKind(), TAKEN_OUT_WAIT_IN_MILLISECONDS, gateways.dataCentres());
    mirror(store, FleetRegistry.KIND, MEMBER_WAIT_IN_MILLISECONDS, registry);
  }

  private void mirror(ObjectStore store, String kind, long wait, KindMirror.Listener listener) {
    mirrors.put(kind, new KindMirror(vertx, store, log, kind, wait, listener));
  }

  private KindMirror.Listener catalogs() {
    return new KindMirror.Listener() {
      @Override
      public void onObject(StoredObject object) {
        if (object.name().equals(model.configurationName())) {
          onConfiguration(object);
        }
      }

      @Override
      public void onObjectRemoved(String name) {
        log.log(EventKind.CONFIGURATION, "configuration deleted; the last one stays in force");
      }
    };
  }

  private void onConfiguration(StoredObject object) {
    Catalog read = model.catalog(object.content()).orElse(Catalog.EMPTY);
    Catalog newest = sessions.catalog().newest(read);
    if (newest != read) {
      log.log(
          EventKind.CONFIGURATION,
          "configuration ignored",
          "version",
          read.version(),
          "in_force",
          newest.version());
      return;
    }
    log.log(
        EventKind.CONFIGURATION,
        "configuration in force",
        "version",
        read.version(),
        "revision",
        object.revision(),
        "routes",
        read.routesByDatabase().size());
    sessions.setCatalog(read);
    quota.onCatalog(read.customersByKey().values());
    gateways.onCatalog(read);
  }

  private void onClocksDisagree() {
    log.log(EventKind.CLOCK, "clocks disagree; ages of observations are dropped");
    gateways.distrustTimes();
  }

  /** Opens the listeners and begins to follow the store. */
  public Future<?> start() {
    onReachabilityChanged();
    startedAt = clock.now();
    mirrors.values().forEach(KindMirror::start);
    settle();
    vertx.setPeriodic(SWEEP_INTERVAL_IN_MILLISECONDS, fired -> gateways.sweep());
    vertx.setPeriodic(FleetLinks.PULSE_INTERVAL_IN_MILLISECONDS, fired -> onPulseTime());
    vertx.setPeriodic(REAP_INTERVAL_IN_MILLISECONDS, fired -> registry.reap(isReaper()));
    return links
        .start(settings.host(), settings.linkPort())
        .compose(
            listening ->
                vertx
                    .createNetServer(
                        new NetServerOptions().setTcpNoDelay(true).setAcceptBacklog(ACCEPT_BACKLOG))
                    .connectHandler(this::onCaller)
                    .listen(settings.callerPort(), settings.host()));
  }

  private void onCaller(NetSocket socket) {
    CallerSession[] self = new CallerSession[1];
    self[0] = new CallerSession(sessions, socket, () -> open.remove(self[0]));
    open.add(self[0]);
  }

  /**
   * Lets sessions begin once this VM knows the configuration, the endpoints and which of the other
   * VMs answer. Before that it would take itself for the gateway of every group and use up the
   * endpoints' connections.
   */
  private void settle() {
    boolean followed = mirrors.values().stream().allMatch(KindMirror::isLoaded);
    boolean decided = registry.members().keySet().stream().allMatch(links::isDecided);
    boolean waitedEnough = clock.now() - startedAt > SETTLED_AFTER_IN_MILLISECONDS;
    if (followed && decided || sessions.catalog().isLoaded() && waitedEnough) {
      log.log(EventKind.PROCESS, "settled", "followed", followed, "decided", decided);
      sessions.setSettled();
      List.copyOf(open).forEach(CallerSession::work);
    } else {
      vertx.setTimer(SETTLE_CHECK_INTERVAL_IN_MILLISECONDS, fired -> settle());
    }
  }

  private void onPulseTime() {
    quota.tick();
    links.tick();
  }

  private boolean isReaper() {
    return Rendezvous.first("reaper", reachable().keySet())
        .filter(settings.name()::equals)
        .isPresent();
  }

  private Map<String, Double> reachable() {
    Map<String, Double> capacities = new HashMap<>();
    registry
        .members()
        .forEach(
            (name, member) -> {
              boolean self = name.equals(settings.name());
              if (self && !leaving || links.alive(name).isPresent()) {
                capacities.put(name, member.capacity());
              }
            });
    if (capacities.isEmpty()) {
      capacities.put(settings.name(), settings.capacity());
    }
    return capacities;
  }

  @Override
  public void onReachabilityChanged() {
    Map<String, Double> reachable = reachable();
    router.onFleet(reachable);
    quota.onFleet(registry.members().keySet(), reachable.keySet());
  }

  @Override
  public void execute(StatementRequest request, String caller, Consumer<StatementResult> consumer) {
    gateways.execute(request, caller, consumer);
  }

  @Override
  public void onCallerGone(String caller) {
    gateways.onCallerGone(caller);
  }

  @Override
  public TokenGrant onAsk(TokenAsk ask) {
    return quota.onAsk(ask);
  }

  @Override
  public void onReturn(TokenReturn unused) {
    quota.onReturn(unused);
  }

  @Override
  public void onGrant(String keeper, TokenGrant grant) {
    quota.onGrant(keeper, grant);
  }

  @Override
  public FleetPulse pulseFor(String vm) {
    FleetPulse.Builder pulse =
        FleetPulse.newBuilder()
            .setLeaving(leaving)
            .setLentLots(quota.lentTo(vm))
            .setUptimeInMilliseconds(quota.uptime());
    mirrors.forEach(
        (kind, mirror) ->
            pulse.addMirrors(
                MirrorState.newBuilder().setKind(kind).setChangedAt(mirror.lastChangeRevision())));
    return pulse.build();
  }

  @Override
  public void onPulse(String vm, FleetPulse pulse) {
    quota.onLent(vm, pulse.getLentLots(), pulse.getUptimeInMilliseconds());
    for (MirrorState state : pulse.getMirrorsList()) {
      KindMirror mirror = mirrors.get(state.getKind());
      if (mirror != null
          && state.getChangedAt() > mirror.lastChangeRevision()
          && mayPull(mirror, state)) {
        pulledAt.put(state.getKind(), clock.now());
        links.pull(vm, state.getKind());
      }
    }
  }

  private boolean mayPull(KindMirror mirror, MirrorState state) {
    Long last = pulledAt.get(state.getKind());
    boolean recent = last != null && clock.now() - last < PULL_INTERVAL_IN_MILLISECONDS;
    return !recent && (!mirror.isAvailable() || state.getKind().equals(model.configurationKind()));
  }

  @Override
  public MirrorPush mirror(String kind) {
    MirrorPush.Builder push = MirrorPush.newBuilder().setKind(kind);
    KindMirror mirror = mirrors.get(kind);
    if (mirror != null) {
      push.setChangedAt(mirror.lastChangeRevision());
      for (StoredObject object : mirror.objects()) {
        MirrorObject.Builder item =
            MirrorObject.newBuilder().setName(object.name()).setRevision(object.revision());
        if (object.content() != null) {
          item.setContent(object.content().encode());
        }
        push.addObjects(item);
      }
    }
    return push.build();
  }

  @Override
  public void onMirror(MirrorPush push) {
    KindMirror mirror = mirrors.get(push.getKind());
    if (mirror == null) {
      return;
    }
    List<StoredObject> objects =
        push.getObjectsList().stream()
            .map(
                item ->
                    new StoredObject(
                        item.getName(),
                        item.getRevision(),
                        item.getContent().isEmpty() ? null : new JsonObject(item.getContent())))
            .toList();
    mirror.mergeFromPeer(push.getChangedAt(), objects);
  }

  /** Returns whether new sessions should come here. */
  public boolean isReady() {
    return sessions.isSettled() && gateways.hasEndpoints() && !leaving;
  }

  /**
   * Stops as planned: takes no new work, lets what is open end, then leaves the fleet.
   *
   * @param onStopped called when the process may end
   */
  public void stop(Runnable onStopped) {
    log.log(EventKind.PROCESS, "stopping", "sessions", open.size());
    leaving = true;
    onReachabilityChanged();
    links.tick();
    long stopAt = clock.now() + (long) (settings.graceInMilliseconds() * LAST_MOMENT);
    vertx.setTimer(
        BALANCER_NOTICES_IN_MILLISECONDS,
        fired -> {
          sessions.setStopping();
          List.copyOf(open).forEach(CallerSession::closeWhenStopping);
        });
    vertx.setPeriodic(
        STOP_CHECK_INTERVAL_IN_MILLISECONDS,
        timer -> {
          boolean drained = sessions.isStopping() && open.isEmpty() && gateways.isIdle();
          if (drained || clock.now() >= stopAt) {
            vertx.cancelTimer(timer);
            finish(drained, onStopped);
          }
        });
  }

  private void finish(boolean drained, Runnable onStopped) {
    log.log(EventKind.PROCESS, "stopped", "drained", drained, "sessions", open.size());
    registry.leave();
    gateways.close();
    vertx.setTimer(STOP_CHECK_INTERVAL_IN_MILLISECONDS, fired -> onStopped.run());
  }
}
