package org.toucanmast.runtime.session;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.toucanmast.core.feature.Feature;
import org.toucanmast.core.link.LocalHealth;
import org.toucanmast.core.membership.Rendezvous;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.mirror.StoreEra;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.core.stop.StopSchedule;
import org.toucanmast.core.usage.CountingRule;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.fleet.FleetLink;
import org.toucanmast.runtime.fleet.FleetLinks;
import org.toucanmast.runtime.fleet.FleetMember;
import org.toucanmast.runtime.fleet.FleetMessageHandler;
import org.toucanmast.runtime.fleet.UsageMessageHandler;
import org.toucanmast.runtime.gateway.GatewayContext;
import org.toucanmast.runtime.gateway.PromotionCoordinator;
import org.toucanmast.runtime.port.CallerDialect;
import org.toucanmast.runtime.port.EndpointDialect;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.PlatformModel;
import org.toucanmast.runtime.port.PromotionOrders;
import org.toucanmast.runtime.port.UsageReports;
import org.toucanmast.runtime.store.KindMirror;
import org.toucanmast.runtime.usage.UsageService;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.MirrorPull;
import org.toucanmast.schema.MirrorPush;
import org.toucanmast.schema.TokenAsk;
import org.toucanmast.schema.TokenGrant;
import org.toucanmast.schema.TokenReturn;

/**
 * A VM that serves sessions: its listeners, its gateways, and its mirrors of the object store.
 *
 * <p>All components run on one event loop, so that a statement wakes one thread only.
 */
public final class SessionVm implements FleetMessageHandler {
  /** Interval between checks for members that have been unreachable for long. */
  private static final long REMOVAL_INTERVAL_IN_MILLISECONDS = 5_000;

  /** Connections that may wait to be accepted; a whole data centre may reconnect at once. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /** Time for leaving the fleet if the time of the stop is used up. */
  private static final long MINIMUM_LEAVE_TIME_IN_MILLISECONDS = 50;

  private static final long LOG_FLUSH_TIMEOUT_IN_MILLISECONDS = 50;
  private final Vertx vertx;
  private final SessionVmSettings settings;
  private final VmClock clock;
  private final EventLog log;
  private final LocalHealth localHealth = new LocalHealth();
  private final LocalHealthTimer healthTimer;
  private final SessionContext sessions;
  private final SessionAllowances allowances;
  private final GatewayRouter router;
  private final GroupGateways gateways;
  private final FleetLinks links;
  private final FleetMembership membership;
  private final FleetRegistry registry;
  private final StoreMirrors mirrors;
  private final PromotionCoordinator promotions;
  private final NetServer callerServer;
  private final Set<CallerSession> openSessions = new HashSet<>();
  private final Optional<UsageService> usage;
  private boolean leaving;
  private Map<String, Double> reachable = Map.of();
  private Set<String> members = Set.of();

  /** The adapters that connect the VM to callers, endpoints and the platform. */
  public record Ports(
      CallerDialect callers,
      EndpointDialect endpoints,
      ObjectStore store,
      PromotionOrders promotions,
      UsageReports usageReports,
      PlatformModel model) {}

  /** Creates a VM that is not started yet; must be called on the event loop. */
  public SessionVm(
      Vertx vertx, SessionVmSettings settings, Ports ports, EventLog log, MetricRegistry metrics) {
    this.vertx = vertx;
    this.callerServer =
        vertx.createNetServer(
            new NetServerOptions().setTcpNoDelay(true).setAcceptBacklog(ACCEPT_BACKLOG));
    this.settings = settings;
    this.clock = new VmClock();
    this.log = log;
    NetClient client = FleetLink.newClient(vertx);
    long incarnation = System.currentTimeMillis();
    StoreEra era = new StoreEra();
    this.promotions =
        new PromotionCoordinator(
            ports.store(), ports.promotions(), era, clock, log, settings.name());
    GatewayContext context = gatewayContext(client, ports, incarnation);
    this.router = new GatewayRouter(settings.dataCentre());
    this.gateways = new GroupGateways(context, ports.model(), log, router);
    this.links =
        new FleetLinks(
            client,
            vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true)),
            clock,
            log,
            this,
            settings.name(),
            incarnation,
            localHealth);
    this.allowances = new SessionAllowances(vertx, clock, log, settings.name(), links, localHealth);
    this.sessions =
        new SessionContext(
            vertx,
            ports.callers(),
            clock,
            log,
            statementSender(context, incarnation),
            allowances,
            new SessionMetrics(metrics));
    FleetMember self = settings.member(incarnation);
    this.membership =
        new FleetMembership(vertx, clock, log, self, links, localHealth, this::onFleetChanged);
    this.registry = new FleetRegistry(vertx, ports.store(), clock, log, self, links, membership);
    this.mirrors =
        new StoreMirrors(
            new KindMirror.Environment(vertx, clock, ports.store(), era, log),
            links::pullMirror,
            settings.name(),
            mirrorsListener());
    this.healthTimer =
        new LocalHealthTimer(
            vertx, clock, log, localHealth, FleetLinks.TICK_INTERVAL_IN_MILLISECONDS, this::onTick);
    createMirrors(ports.model(), metrics);
    registerMetrics(metrics);
    this.usage =
        usageService(
            new UsageService.Environment(
                ports.store(), ports.usageReports(), era, clock, log, metrics, links),
            incarnation);
    configure(context, metrics);
  }

  private void registerMetrics(MetricRegistry metrics) {
    healthTimer.registerMetrics(metrics);
    links.registerMetrics(metrics);
    Gauge<Long> queuedLog = log::queuedCharacters;
    metrics.registerGauge("log.queued-characters", queuedLog);
    Gauge<Integer> groups = gateways::size;
    metrics.registerGauge("gateway.groups", groups);
  }

  private StatementSender statementSender(GatewayContext context, long incarnation) {
    VmRun localRun = new VmRun(settings.name(), incarnation);
    boolean readsNearby = settings.features().contains(Feature.NEARBY_READS);
    return new StatementSender(
        localRun, this, links, router, readsNearby, context::isHeld, clock, log);
  }

  private GatewayContext gatewayContext(NetClient client, Ports ports, long incarnation) {
    return new GatewayContext(
        vertx,
        client,
        ports.endpoints(),
        clock,
        log,
        promotions,
        settings.dataCentre(),
        incarnation);
  }

  private void configure(GatewayContext context, MetricRegistry metrics) {
    context.setAssignedGateway(group -> router.isFirst(group, settings.name()));
    if (settings.features().contains(Feature.NEARBY_READS)) {
      context.setNearbyGateway(group -> router.isNearby(group, settings.name()));
    }
    context.setPromises(settings.promises());
    context.setFeatures(settings.features(), metrics);
    context.setLocalHealth(localHealth);
    context.setIsolated(membership::isIsolated);
    usage.ifPresent(context::setStartedStatements);
    promotions.setEraListener(mirrors::onAnswerOfEra);
    sessions.setMirrorAges(mirrors::describeAges);
    clock.addDisagreementListener(this::onClockDisagreement);
  }

  private Optional<UsageService> usageService(
      UsageService.Environment environment, long incarnation) {
    return settings
        .usage()
        .map(
            timing ->
                new UsageService(
                    environment,
                    timing,
                    CountingRule.EACH_OPERATION,
                    settings.name(),
                    incarnation,
                    () -> sessions.isInitialized() && !membership.isIsolated(),
                    mirrors::onAnswerOfEra));
  }

  private void createMirrors(PlatformModel model, MetricRegistry metrics) {
    MirroredKinds kinds = new MirroredKinds(model, settings.promises());
    mirrors.add(
        kinds.configuration(),
        new ConfigurationListener(model, sessions, allowances, gateways, log));
    mirrors.add(kinds.endpoints(), gateways.endpointListener());
    mirrors.add(kinds.takenOut(), gateways.dataCentreListener());
    mirrors.add(kinds.members(), registry);
    mirrors.registerMetrics(metrics);
  }

  private StoreMirrors.Listener mirrorsListener() {
    return new StoreMirrors.Listener() {
      @Override
      public void onMirrorsChanged() {
        membership.announce();
      }

      @Override
      public void onStoreAccessChanged() {
        membership.setStoreRefused(mirrors.isStoreRefused());
      }

      @Override
      public void onNewEra() {
        promotions.onNewEra();
        usage.ifPresent(UsageService::onNewEra);
      }
    };
  }

  private void onClockDisagreement() {
    log.log(EventKind.CLOCK, "clocks disagree; ages of observations are discarded");
    gateways.discardObservationAges();
  }

  /** Starts the mirrors of the store and opens the listeners for callers and peers. */
  public Future<?> start() {
    sessions.setFeatures(settings.features());
    onFleetChanged();
    mirrors.start();
    StartConditions conditions =
        new StartConditions(
            settings, sessions, mirrors, membership, registry, gateways, router, links);
    new SessionStart(vertx, clock, log, conditions, this::onSettled).begin();
    gateways.startSweeping();
    healthTimer.start(settings.features().contains(Feature.LOCAL_HEALTH));
    vertx.setPeriodic(
        REMOVAL_INTERVAL_IN_MILLISECONDS, fired -> registry.removeUnreachable(removesMembers()));
    return links
        .start(settings.host(), settings.linkPort())
        .compose(
            listening ->
                callerServer
                    .connectHandler(this::onCaller)
                    .listen(settings.callerPort(), settings.host()));
  }

  private void onCaller(NetSocket socket) {
    CallerSession[] self = new CallerSession[1];
    self[0] = new CallerSession(sessions, socket, () -> openSessions.remove(self[0]));
    openSessions.add(self[0]);
  }

  private void onSettled() {
    sessions.setInitialized();
    List.copyOf(openSessions).forEach(CallerSession::handlePending);
  }

  private void onTick() {
    allowances.expireTokenRequests();
    links.tick();
    mirrors.updateWatching();
    usage.ifPresent(UsageService::tick);
  }

  private boolean removesMembers() {
    return Rendezvous.first("reaper", reachable.keySet())
        .filter(settings.name()::equals)
        .isPresent();
  }

  private void onFleetChanged() {
    Map<String, Double> nowReachable = membership.reachable();
    boolean changed = !nowReachable.equals(reachable);
    if (changed) {
      reachable = nowReachable;
      router.onFleetChanged(reachable, membership.dataCentres());
    }
    if (changed
        || !membership.members().equals(members)
        || !settings.features().contains(Feature.LOCAL_HEALTH)) {
      members = Set.copyOf(membership.members());
      allowances.onFleetChanged(members, reachable.keySet());
    }
    usage.ifPresent(service -> service.onFleetChanged(reachable.keySet()));
    mirrors.setAssigned(membership.isWatcher());
  }

  @Override
  public Optional<UsageMessageHandler> usage() {
    return usage.map(service -> service);
  }

  @Override
  public void onReachabilityChanged() {
    membership.scheduleUpdate();
  }

  @Override
  public void execute(StatementRequest request, VmRun origin, Consumer<StatementResult> consumer) {
    gateways.execute(request, origin, consumer);
  }

  @Override
  public void onOriginLost(VmRun origin) {
    gateways.onOriginLost(origin);
  }

  @Override
  public TokenGrant onTokenRequest(TokenAsk request) {
    return allowances.onTokenRequest(request);
  }

  @Override
  public void onTokenReturn(TokenReturn unused) {
    allowances.onTokenReturn(unused);
  }

  @Override
  public void onTokenGrant(String holder, TokenGrant grant) {
    allowances.onTokenGrant(holder, grant);
  }

  @Override
  public FleetPulse heartbeatFor(String vm) {
    FleetPulse.Builder heartbeat =
        FleetPulse.newBuilder()
            .setLeaving(leaving)
            .setLentLots(allowances.partitionsLentTo(vm))
            .setUptimeInMilliseconds(allowances.uptimeInMilliseconds());
    mirrors.describeEra(heartbeat);
    if (membership.neighbours().contains(vm)) {
      membership.describe(vm, heartbeat);
      mirrors.describe(heartbeat);
      usage.ifPresent(service -> service.describe(heartbeat));
    }
    return heartbeat.build();
  }

  @Override
  public void onHeartbeat(String vm, FleetPulse heartbeat) {
    allowances.onSharesLent(vm, heartbeat.getLentLots(), heartbeat.getUptimeInMilliseconds());
    membership.onHeartbeat(vm, heartbeat);
    mirrors.onHeartbeat(vm, heartbeat);
    usage.ifPresent(service -> service.onHeartbeat(vm, heartbeat));
  }

  @Override
  public MirrorPush mirrorContent(MirrorPull request) {
    return mirrors.contentFor(request);
  }

  @Override
  public void onMirrorContent(String vm, MirrorPush content) {
    mirrors.onContent(vm, content);
  }

  /** Returns whether the load balancer should direct new sessions to this VM. */
  public boolean isReady() {
    return sessions.isInitialized()
        && gateways.hasEndpoints()
        && !leaving
        && !localHealth.isOverloaded(clock.now());
  }

  /**
   * Stops gracefully: reports that this VM is not ready, closes sessions when they become idle, and
   * leaves the fleet when all have ended or most of the grace period has passed.
   *
   * @param askedAt when the VM was asked to stop, as {@link VmClock#monotonicTime} gives it; the
   *     event loop may be busy for a while before it can begin
   * @param onStopped called when the process may exit
   */
  public void stop(long askedAt, Runnable onStopped) {
    leaving = true;
    usage.ifPresent(UsageService::setStopping);
    membership.setLeaving();
    links.announceLeaving();
    StopSchedule schedule = new StopSchedule(askedAt, settings.graceInMilliseconds());
    new PlannedStop(vertx, clock, log, sessions, openSessions, gateways, schedule)
        .begin(() -> leave(schedule.exitAt(), onStopped));
  }

  /**
   * Leaves the fleet. The entry is deleted last: peers close their links to a VM without one, and
   * with them what they still await from its gateways.
   */
  private void leave(long exitAt, Runnable onStopped) {
    gateways.close();
    usage.ifPresent(UsageService::finish);
    long timeout = Math.max(MINIMUM_LEAVE_TIME_IN_MILLISECONDS, exitAt - clock.now());
    Future<Void> left = links.answersSent().eventually(registry::deregister);
    Future.join(callerServer.close(), left)
        .timeout(timeout, TimeUnit.MILLISECONDS)
        .onComplete(
            result -> {
              log.log(EventKind.PROCESS, "left the fleet", "complete", result.succeeded());
              log.flush(LOG_FLUSH_TIMEOUT_IN_MILLISECONDS);
              onStopped.run();
            });
  }
}
