package org.toucanmast.runtime.vm;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.toucanmast.core.allowance.AllowanceHolder;
import org.toucanmast.core.allowance.LendingView;
import org.toucanmast.core.allowance.ShareLender;
import org.toucanmast.core.configuration.ConfigurationState;
import org.toucanmast.core.configuration.Database;
import org.toucanmast.core.membership.Epoch;
import org.toucanmast.core.membership.EpochAdoption;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.stop.StopPhase;
import org.toucanmast.core.stop.StopSchedule;
import org.toucanmast.runtime.allowance.SharedAllowances;
import org.toucanmast.runtime.caller.CallerServer;
import org.toucanmast.runtime.endpoint.EndpointControl;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.runtime.membership.HeartbeatService;
import org.toucanmast.runtime.membership.PeerTable;
import org.toucanmast.runtime.membership.ShareLending;
import org.toucanmast.runtime.metrics.RequestMetrics;
import org.toucanmast.runtime.peer.PeerException;
import org.toucanmast.runtime.peer.PeerIdentity;
import org.toucanmast.runtime.peer.PeerListener;
import org.toucanmast.runtime.peer.PeerNetwork;
import org.toucanmast.runtime.platform.PlatformMonitor;
import org.toucanmast.runtime.request.AccessControl;
import org.toucanmast.runtime.request.CallerAnswer;
import org.toucanmast.runtime.request.CallerRequest;
import org.toucanmast.runtime.request.RequestProcessor;
import org.toucanmast.runtime.request.StopState;
import org.toucanmast.runtime.transaction.TransactionForwarder;
import org.toucanmast.runtime.transaction.TransactionManager;
import org.toucanmast.runtime.transaction.TransactionRequest;
import org.toucanmast.schema.PeerHello;
import org.toucanmast.schema.PeerMessage;
import org.toucanmast.schema.Settings;

/**
 * Serves callers and peers; owns all state of requests and makes all decisions on one event loop.
 */
final class RequestService extends VerticleBase
    implements PeerListener, CallerServer.Service, RequestStop.Work {
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
  private static final long TICK_INTERVAL_IN_MILLISECONDS = 25;

  /** Margin for the clock drift between VMs. */
  private static final double LEASE_BOUND_FACTOR = 1.1;

  private static final int CONTROL_CONNECTIONS_PER_ENDPOINT = 2;
  private static final int PEER_TIMEOUT_IN_HEARTBEATS = 5;

  private final Settings settings;
  private final MetricRegistry registry;
  private final RequestMetrics metrics;
  private final LongSupplier clock = System::nanoTime;
  private final InstantSource wallClock = InstantSource.system();
  private final long incarnation = wallClock.millis();
  private final String self;
  private final ConfigurationState configuration = new ConfigurationState();
  private final Map<String, DatabaseGroup> groups = new HashMap<>();
  private final PeerTable peers;
  private final EpochAdoption epochGate;
  private final ShareLender lender;
  private final AllowanceHolder holder;
  private PeerNetwork network;
  private HeartbeatService heartbeatService;
  private FleetManager fleetManager;
  private SharedAllowances allowances;
  private RequestProcessor requestProcessor;
  private TransactionManager transactionManager;
  private TransactionForwarder transactionForwarder;
  private CallerServer callerServer;
  private AccessControl accessControl;
  private HttpClientAgent endpointClient;
  private EndpointControl endpointControl;
  private Map<String, String> observerCandidates = Map.of();
  private boolean heartbeatScheduled;
  private final StopState stop = new StopState();
  private volatile boolean accepting;
  private volatile boolean stopping;

  RequestService(Settings settings, MetricRegistry registry) {
    this.settings = settings;
    this.registry = registry;
    this.metrics = new RequestMetrics(registry);
    this.self = settings.getVm().getName();
    long leaseDurationInNanoseconds = settings.getPeers().getLeaseDuration();
    long leaseBoundInNanoseconds = (long) (leaseDurationInNanoseconds * LEASE_BOUND_FACTOR);
    long peerTimeoutInNanoseconds =
        settings.getPeers().getHeartbeatInterval() * PEER_TIMEOUT_IN_HEARTBEATS;
    this.peers = new PeerTable(self, settings.getVm().getDataCentre(), peerTimeoutInNanoseconds);
    this.epochGate = new EpochAdoption(self, leaseBoundInNanoseconds, clock.getAsLong());
    this.lender = new ShareLender(leaseBoundInNanoseconds);
    this.holder = new AllowanceHolder(self, SharedAllowances.GRANT_LIFETIME_IN_NANOSECONDS);
  }

  @Override
  public Future<?> start() {
    createEndpointClients();
    allowances =
        new SharedAllowances(vertx, self, holder, this::tokenRequestView, this::sendToPeer, clock);
    fleetManager =
        new FleetManager(
            settings,
            clock,
            configuration,
            peers,
            epochGate,
            groups,
            this::newGroup,
            allowances,
            this::sendToPeer);
    heartbeatService =
        new HeartbeatService(
            self,
            incarnation,
            settings.getPeers().getLeaseDuration(),
            peers,
            configuration,
            new ShareLending(epochGate, lender, holder),
            groups,
            this::sendToPeer);
    createRequestPath();
    try {
      network = new PeerNetwork(settings.getPeers(), hello(), registry, eventLoopExecutor(), this);
      network.start();
    } catch (PeerException e) {
      return Future.failedFuture(e);
    }
    registerGauges();
    return callerServer.start();
  }

  private void createEndpointClients() {
    endpointClient =
        vertx.createHttpClient(new HttpClientOptions().setKeepAlive(true).setTcpNoDelay(true));
    endpointControl =
        new EndpointControl(
            vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(CONTROL_CONNECTIONS_PER_ENDPOINT)),
            self);
  }

  private void createRequestPath() {
    accessControl = new AccessControl(configuration, fleetManager::keysAreFresh);
    long callTimeoutInNanoseconds = settings.getDatabases().getCallTimeout();
    requestProcessor =
        new RequestProcessor(
            vertx,
            groups,
            allowances,
            accessControl,
            clock,
            wallClock,
            callTimeoutInNanoseconds,
            stop);
    long idleTimeoutInNanoseconds = settings.getDatabases().getTransactionIdleTimeout();
    transactionManager = new TransactionManager(self, requestProcessor, idleTimeoutInNanoseconds);
    transactionForwarder =
        new TransactionForwarder(
            this::sendToPeer, this::runLocally, message -> network.accepts(message), clock);
    callerServer =
        new CallerServer(
            vertx, settings.getCallers(), configuration, accessControl, this, metrics, clock, stop);
  }

  private PeerHello hello() {
    return PeerHello.newBuilder()
        .setVm(self)
        .setDataCentre(settings.getVm().getDataCentre())
        .setAddress(settings.getPeers().getAddress())
        .setIncarnation(incarnation)
        .build();
  }

  private Executor eventLoopExecutor() {
    Context eventLoop = context;
    return task -> eventLoop.runOnContext(nothing -> task.run());
  }

  private void registerGauges() {
    registry.register("transactions.open", (Gauge<Integer>) transactionManager::size);
    registry.register("allowance.asks", (Gauge<Long>) allowances::tokenRequestCount);
  }

  /** Sets the platform component, and starts the heartbeat and tick timers. */
  void startPeriodicWork(PlatformMonitor platform) {
    context.runOnContext(
        nothing -> {
          fleetManager.setPlatform(platform);
          long intervalInMilliseconds =
              settings.getPeers().getHeartbeatInterval() / NANOSECONDS_PER_MILLISECOND;
          vertx.setPeriodic(intervalInMilliseconds, timer -> onHeartbeatInterval());
          vertx.setPeriodic(TICK_INTERVAL_IN_MILLISECONDS, timer -> tick());
        });
  }

  RequestMetrics metrics() {
    return metrics;
  }

  FleetManager fleetManager() {
    return fleetManager;
  }

  Executor executor() {
    return eventLoopExecutor();
  }

  LongSupplier clock() {
    return clock;
  }

  private DatabaseGroup newGroup(Database database) {
    return new DatabaseGroup(
        vertx,
        endpointClient,
        endpointControl,
        settings.getDatabases(),
        database,
        self,
        settings.getVm().getDataCentre(),
        clock,
        this::scheduleHeartbeat);
  }

  private LendingView tokenRequestView() {
    Epoch newestEpoch = epochGate.newest();
    return SharedAllowances.tokenRequestView(
        lender.active(),
        newestEpoch,
        new TreeSet<>(heartbeatService.skippedMembers(newestEpoch, clock.getAsLong())));
  }

  private boolean sendToPeer(String vm, PeerMessage message) {
    return network.send(vm, message);
  }

  private void scheduleHeartbeat() {
    if (!heartbeatScheduled) {
      heartbeatScheduled = true;
      context.runOnContext(
          nothing -> {
            heartbeatScheduled = false;
            heartbeatService.sendHeartbeats(clock.getAsLong());
          });
    }
  }

  private void onHeartbeatInterval() {
    long now = clock.getAsLong();
    network.setPeerAddresses(fleetManager.peerAddresses());
    fleetManager.tick(now);
    observerCandidates = observerCandidates(now);
    boolean takenOut = fleetManager.isTakenOut();
    heartbeatService.setLeaving(stopping || takenOut);
    heartbeatService.sendHeartbeats(now);
    accepting = configuration.isReady() && !takenOut;
    metrics.onConfiguration(configuration.current());
  }

  /** Returns the VMs that may order promotions; this VM is none of them once it is stopping. */
  private Map<String, String> observerCandidates(long now) {
    Map<String, String> candidates = peers.liveAndNotLeaving(now);
    if (stopping) {
      candidates.remove(self);
    }
    return candidates;
  }

  private void tick() {
    long now = clock.getAsLong();
    allowances.tick(now);
    groups
        .values()
        .forEach(
            group ->
                group.tick(
                    configuration.current(),
                    observerCandidates,
                    () -> peers.liveVms(now).keySet(),
                    now));
    transactionManager.tick(now);
    transactionForwarder.tick(now);
  }

  @Override
  public void onLinkOpened(PeerIdentity peer) {
    heartbeatService.onLinked(peer, clock.getAsLong());
  }

  @Override
  public void onLinkClosed(PeerIdentity peer) {
    transactionForwarder.onLinkClosed(peer.name());
  }

  @Override
  public void onNotSent(PeerMessage message) {
    if (message.hasForwardRequest()) {
      transactionForwarder.onNotSent(message.getForwardRequest());
    }
  }

  @Override
  public void onMessage(PeerIdentity sender, PeerMessage message) {
    long now = clock.getAsLong();
    switch (message.getBodyCase()) {
      case HEARTBEAT -> {
        if (heartbeatService.onHeartbeat(sender, message.getHeartbeat(), now)) {
          fleetManager.onHeartbeat(sender, message.getHeartbeat(), now);
        }
      }
      case CONFIGURATION_PULL -> fleetManager.onPull(sender, message.getConfigurationPull());
      case CONFIGURATION_PUSH -> fleetManager.onPush(message.getConfigurationPush());
      case TOKEN_ASK -> allowances.onTokenRequest(sender.name(), message.getTokenAsk());
      case TOKEN_GRANT -> allowances.onTokenGrant(sender.name(), message.getTokenGrant());
      case TOKEN_RETURN -> allowances.onTokenReturn(message.getTokenReturn());
      case FORWARD_REQUEST ->
          transactionForwarder.onForwardRequest(sender.name(), message.getForwardRequest());
      case FORWARD_REPLY -> transactionForwarder.onForwardReply(message.getForwardReply());
      default -> {}
    }
  }

  @Override
  public Future<CallerAnswer> run(CallerRequest request) {
    return requestProcessor.run(request);
  }

  @Override
  public Future<CallerAnswer> begin(CallerRequest request) {
    return transactionManager.begin(request);
  }

  @Override
  public Future<CallerAnswer> step(TransactionRequest step) {
    String owner = step.handle().vm();
    return owner.equals(self)
        ? runLocally(step)
        : transactionForwarder.forward(step, peers.isLive(owner, clock.getAsLong()));
  }

  private Future<CallerAnswer> runLocally(TransactionRequest step) {
    return transactionManager.step(step, accessControl, wallClock.instant());
  }

  /** Returns whether this VM is ready to receive requests of callers. */
  boolean isReady() {
    return accepting && !stopping;
  }

  /** Returns the status report of this VM; may be called from any thread. */
  Future<JsonObject> status() {
    Promise<JsonObject> promise = Promise.promise();
    context.runOnContext(
        nothing ->
            promise.complete(
                StatusReport.of(
                    self, isReady(), configuration, peers, epochGate, groups, clock.getAsLong())));
    return promise.future();
  }

  /**
   * Begins the planned stop: reports this VM as not ready, tells peers that it is leaving, and ends
   * all work in the phases of a {@link StopSchedule}.
   *
   * @return completes when nothing is left to be answered, with whether all work ended before the
   *     stop had to end it
   */
  Future<Boolean> stopServing() {
    stopping = true;
    Promise<Boolean> ended = Promise.promise();
    context.runOnContext(
        nothing -> {
          long now = clock.getAsLong();
          observerCandidates = observerCandidates(now);
          heartbeatService.setLeaving(true);
          heartbeatService.sendHeartbeats(now);
          StopSchedule schedule =
              StopSchedule.afterAnnouncement(
                  now / NANOSECONDS_PER_MILLISECOND,
                  settings.getShutdown().getAnnounceDelay() / NANOSECONDS_PER_MILLISECOND,
                  settings.getShutdown().getDeadline() / NANOSECONDS_PER_MILLISECOND);
          stop.begin(schedule);
          new RequestStop(vertx, schedule, this, clock).run().onComplete(ended);
        });
    return ended.future();
  }

  @Override
  public void enter(StopPhase phase) {
    long now = clock.getAsLong();
    switch (phase) {
      case ANNOUNCED -> callerServer.closeAfterResponses();
      case CLOSING -> callerServer.refuseIncomplete();
      case REFUSING -> {
        allowances.refuseWaiting(Refusal.STOPPING, now);
        groups.values().forEach(group -> group.failWaiting("the VM is stopping"));
      }
      case ANSWERING -> {
        callerServer.refuseAllIncomplete();
        groups.values().forEach(DatabaseGroup::endCalls);
        transactionManager.tick(now);
        transactionForwarder.endAll();
      }
      default -> {}
    }
  }

  @Override
  public boolean hasEnded() {
    return callerServer.hasAnsweredAll()
        && transactionManager.size() == 0
        && transactionForwarder.hasRepliedToAll()
        && groups.values().stream().noneMatch(DatabaseGroup::isOrdering);
  }

  @Override
  public void answerAll() {
    callerServer.answerAll();
  }

  @Override
  public void close() {
    callerServer.close();
  }

  @Override
  public Future<?> stop() {
    network.stop();
    return callerServer.close();
  }
}
