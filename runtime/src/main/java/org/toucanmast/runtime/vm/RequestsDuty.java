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
import org.toucanmast.runtime.allowance.AllowanceDuty;
import org.toucanmast.runtime.caller.CallerServer;
import org.toucanmast.runtime.endpoint.EndpointControl;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.runtime.membership.HeartbeatDuty;
import org.toucanmast.runtime.membership.PeerTable;
import org.toucanmast.runtime.membership.Shares;
import org.toucanmast.runtime.metrics.RequestMetrics;
import org.toucanmast.runtime.peer.PeerException;
import org.toucanmast.runtime.peer.PeerIdentity;
import org.toucanmast.runtime.peer.PeerListener;
import org.toucanmast.runtime.peer.PeerNetwork;
import org.toucanmast.runtime.platform.PlatformMonitor;
import org.toucanmast.runtime.request.Access;
import org.toucanmast.runtime.request.CallerAnswer;
import org.toucanmast.runtime.request.CallerRequest;
import org.toucanmast.runtime.request.RequestPath;
import org.toucanmast.runtime.transaction.ForwardDuty;
import org.toucanmast.runtime.transaction.TransactionDuty;
import org.toucanmast.runtime.transaction.TransactionRequest;
import org.toucanmast.schema.PeerHello;
import org.toucanmast.schema.PeerMessage;
import org.toucanmast.schema.Settings;

/** The duty that serves callers: owns every decision and all state of requests, on one thread. */
final class RequestsDuty extends VerticleBase implements PeerListener, CallerServer.Service {
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
  private static final long TICK_IN_MILLISECONDS = 25;
  private static final double LEASE_BOUND_FACTOR = 1.1;
  private static final int CONTROL_CONNECTIONS_PER_ENDPOINT = 2;
  private static final int PEER_SILENCE_IN_HEARTBEATS = 5;

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
  private final EpochAdoption epochs;
  private final ShareLender lender;
  private final AllowanceHolder holder;
  private PeerNetwork network;
  private HeartbeatDuty heartbeats;
  private FleetDuty fleet;
  private AllowanceDuty allowances;
  private RequestPath path;
  private TransactionDuty transactions;
  private ForwardDuty forwards;
  private CallerServer callers;
  private Access access;
  private HttpClientAgent endpointClient;
  private EndpointControl control;
  private Map<String, String> observerCandidates = Map.of();
  private boolean beatScheduled;
  private volatile boolean accepting;
  private volatile boolean stopping;

  RequestsDuty(Settings settings, MetricRegistry registry) {
    this.settings = settings;
    this.registry = registry;
    this.metrics = new RequestMetrics(registry);
    this.self = settings.getVm().getName();
    long lease = settings.getPeers().getLeaseDuration();
    long leaseBound = (long) (lease * LEASE_BOUND_FACTOR);
    long silence = settings.getPeers().getHeartbeatInterval() * PEER_SILENCE_IN_HEARTBEATS;
    this.peers = new PeerTable(self, settings.getVm().getDataCentre(), silence);
    this.epochs = new EpochAdoption(self, leaseBound, clock.getAsLong());
    this.lender = new ShareLender(leaseBound);
    this.holder = new AllowanceHolder(self, AllowanceDuty.GRANT_LIFE);
  }

  @Override
  public Future<?> start() {
    createEndpointClients();
    allowances = new AllowanceDuty(vertx, self, holder, this::askingView, this::sendToPeer, clock);
    fleet =
        new FleetDuty(
            settings,
            clock,
            configuration,
            peers,
            epochs,
            groups,
            this::newGroup,
            allowances,
            this::sendToPeer);
    heartbeats =
        new HeartbeatDuty(
            self,
            incarnation,
            settings.getPeers().getLeaseDuration(),
            peers,
            configuration,
            new Shares(epochs, lender, holder),
            groups,
            this::sendToPeer);
    createRequestPath();
    try {
      network = new PeerNetwork(settings.getPeers(), hello(), registry, requestsThread(), this);
      network.start();
    } catch (PeerException e) {
      return Future.failedFuture(e);
    }
    registerGauges();
    return callers.start();
  }

  private void createEndpointClients() {
    endpointClient =
        vertx.createHttpClient(new HttpClientOptions().setKeepAlive(true).setTcpNoDelay(true));
    control =
        new EndpointControl(
            vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(CONTROL_CONNECTIONS_PER_ENDPOINT)),
            self);
  }

  private void createRequestPath() {
    access = new Access(configuration, fleet::keysAreFresh);
    long callTimeout = settings.getDatabases().getCallTimeout();
    path = new RequestPath(vertx, groups, allowances, access, clock, wallClock, callTimeout);
    long idleTimeout = settings.getDatabases().getTransactionIdleTimeout();
    transactions = new TransactionDuty(self, path, idleTimeout);
    forwards = new ForwardDuty(this::sendToPeer, this::localStep, clock);
    callers =
        new CallerServer(vertx, settings.getCallers(), configuration, access, this, metrics, clock);
  }

  private PeerHello hello() {
    return PeerHello.newBuilder()
        .setVm(self)
        .setDataCentre(settings.getVm().getDataCentre())
        .setAddress(settings.getPeers().getAddress())
        .setIncarnation(incarnation)
        .build();
  }

  private Executor requestsThread() {
    Context duty = context;
    return task -> duty.runOnContext(nothing -> task.run());
  }

  private void registerGauges() {
    registry.register("transactions.open", (Gauge<Integer>) transactions::size);
    registry.register("allowance.asks", (Gauge<Long>) allowances::asks);
  }

  /** Begins to serve once the platform duty runs. */
  void connect(PlatformMonitor platform) {
    context.runOnContext(
        nothing -> {
          fleet.connect(platform);
          long interval = settings.getPeers().getHeartbeatInterval() / NANOSECONDS_PER_MILLISECOND;
          vertx.setPeriodic(interval, timer -> beat());
          vertx.setPeriodic(TICK_IN_MILLISECONDS, timer -> tick());
        });
  }

  FleetDuty fleet() {
    return fleet;
  }

  Executor executor() {
    return requestsThread();
  }

  LongSupplier clock() {
    return clock;
  }

  private DatabaseGroup newGroup(Database database) {
    return new DatabaseGroup(
        vertx,
        endpointClient,
        control,
        settings.getDatabases(),
        database,
        self,
        settings.getVm().getDataCentre(),
        clock,
        this::beatSoon);
  }

  private LendingView askingView() {
    Epoch newest = epochs.newest();
    return AllowanceDuty.askingView(
        lender.active(), newest, new TreeSet<>(heartbeats.skipped(newest, clock.getAsLong())));
  }

  private boolean sendToPeer(String vm, PeerMessage message) {
    return network.send(vm, message);
  }

  private void beatSoon() {
    if (!beatScheduled) {
      beatScheduled = true;
      context.runOnContext(
          nothing -> {
            beatScheduled = false;
            heartbeats.beat(clock.getAsLong());
          });
    }
  }

  private void beat() {
    long now = clock.getAsLong();
    network.setPeerAddresses(fleet.peerAddresses());
    fleet.tick(now);
    observerCandidates = peers.staying(now);
    boolean out = fleet.isTakenOut();
    heartbeats.setLeaving(stopping || out);
    heartbeats.beat(now);
    accepting = configuration.isReady() && !out;
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
                    () -> peers.live(now).keySet(),
                    now));
    transactions.tick(now);
    forwards.tick(now);
  }

  @Override
  public void onLinkOpened(PeerIdentity peer) {
    heartbeats.onLinked(peer, clock.getAsLong());
  }

  @Override
  public void onMessage(PeerIdentity sender, PeerMessage message) {
    long now = clock.getAsLong();
    switch (message.getBodyCase()) {
      case HEARTBEAT -> {
        if (heartbeats.onHeartbeat(sender, message.getHeartbeat(), now)) {
          fleet.onDigest(sender, message.getHeartbeat(), now);
        }
      }
      case CONFIGURATION_PULL -> fleet.onPull(sender, message.getConfigurationPull());
      case CONFIGURATION_PUSH -> fleet.onPush(message.getConfigurationPush());
      case TOKEN_ASK -> allowances.onAsk(sender.name(), message.getTokenAsk());
      case TOKEN_GRANT -> allowances.onGrant(sender.name(), message.getTokenGrant());
      case TOKEN_RETURN -> allowances.onReturn(message.getTokenReturn());
      case FORWARD_REQUEST -> forwards.onRequest(sender.name(), message.getForwardRequest());
      case FORWARD_REPLY -> forwards.onReply(message.getForwardReply());
      default -> {}
    }
  }

  @Override
  public Future<CallerAnswer> run(CallerRequest request) {
    return path.run(request);
  }

  @Override
  public Future<CallerAnswer> begin(CallerRequest request) {
    return transactions.begin(request);
  }

  @Override
  public Future<CallerAnswer> step(TransactionRequest step) {
    String owner = step.handle().vm();
    return owner.equals(self)
        ? localStep(step)
        : forwards.forward(step, peers.isLive(owner, clock.getAsLong()));
  }

  private Future<CallerAnswer> localStep(TransactionRequest step) {
    return transactions.step(step, access, wallClock.instant());
  }

  /** Tells whether callers should be sent to this VM. */
  boolean isReady() {
    return accepting && !stopping;
  }

  /** Returns what this VM knows, asked for from any thread. */
  Future<JsonObject> status() {
    Promise<JsonObject> promise = Promise.promise();
    context.runOnContext(
        nothing ->
            promise.complete(
                StatusReport.of(
                    self, isReady(), configuration, peers, epochs, groups, clock.getAsLong())));
    return promise.future();
  }

  /** Shows itself as not ready, and tells peers that it is leaving. */
  void announceStop() {
    stopping = true;
    context.runOnContext(
        nothing -> {
          heartbeats.setLeaving(true);
          heartbeats.beat(clock.getAsLong());
        });
  }

  /** Refuses new requests; running ones and open transactions go on. */
  void stopAccepting() {
    context.runOnContext(nothing -> callers.stopAccepting());
  }

  /** Tells whether no request runs and no transaction is open. */
  boolean isIdle() {
    return metrics.inFlight() == 0 && transactions.size() == 0;
  }

  @Override
  public Future<?> stop() {
    network.stop();
    return callers.close();
  }
}
