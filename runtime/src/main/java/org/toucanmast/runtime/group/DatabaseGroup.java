package org.toucanmast.runtime.group;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.toucanmast.core.configuration.Database;
import org.toucanmast.core.configuration.EndpointDescription;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.group.GroupView;
import org.toucanmast.core.group.ObservationRound;
import org.toucanmast.core.promotion.Observers;
import org.toucanmast.core.promotion.TransactionHold;
import org.toucanmast.core.request.RetryBudget;
import org.toucanmast.core.routing.Router;
import org.toucanmast.runtime.endpoint.EndpointControl;
import org.toucanmast.runtime.endpoint.EndpointPool;
import org.toucanmast.schema.DatabaseSettings;

/** The state and the components of one database group on this VM. */
public final class DatabaseGroup {
  private static final double RETRIES_PER_REQUEST = 0.2;
  private static final double MAXIMUM_SAVED_RETRIES = 20;
  private static final long FULL_ROUND_INTERVAL_IN_NANOSECONDS = 1_000_000_000L;
  private static final long RECENT_USE_IN_NANOSECONDS = 5_000_000_000L;

  /** Several heartbeat intervals; equal to the lifetime of a peer's suspicion. */
  private static final long HOLD_LIFETIME_IN_NANOSECONDS = 500_000_000;

  private final DatabaseSettings settings;
  private final HttpClientAgent client;
  private final String dataCentre;
  private final LongSupplier clock;
  private final GroupView view = new GroupView();
  private final GroupObserver observer;
  private final PrimaryMonitor primaryMonitor;
  private final TransactionHold transactionHold = new TransactionHold(HOLD_LIFETIME_IN_NANOSECONDS);
  private final RetryBudget retryBudget =
      new RetryBudget(RETRIES_PER_REQUEST, MAXIMUM_SAVED_RETRIES);
  private final Map<String, EndpointPool> pools = new HashMap<>();
  private final Map<String, String> addresses = new HashMap<>();
  private final String self;
  private final Runnable notifyPeers;
  private Map<String, String> observerCandidates = Map.of();
  private List<String> observers = List.of();
  private Database database;
  private Router router;
  private long lastUsedAt;
  private boolean used;
  private long routedTerm;
  private long lastRoundAt;
  private long lastFullRoundAt;
  private boolean primaryAnswered;

  /**
   * Creates the group; requests can be routed after the first {@link #update}.
   *
   * @param client connects to the endpoints for requests
   * @param control calls the endpoints for status, fencing and promotion
   * @param database the initial description of the group
   * @param self the name of this VM
   * @param dataCentre the data centre of this VM
   * @param clock the monotonic clock, in nanoseconds
   * @param notifyPeers called when peers must learn at once of a suspicion, a planned move, a hold
   *     of transactions or a new primary
   */
  public DatabaseGroup(
      Vertx vertx,
      HttpClientAgent client,
      EndpointControl control,
      DatabaseSettings settings,
      Database database,
      String self,
      String dataCentre,
      LongSupplier clock,
      Runnable notifyPeers) {
    this.self = self;
    this.notifyPeers = notifyPeers;
    this.client = client;
    this.settings = settings;
    this.database = database;
    this.dataCentre = dataCentre;
    this.clock = clock;
    long suspicionTimeoutInNanoseconds = settings.getSuspicionTimeout();
    this.observer =
        new GroupObserver(vertx, control, database, view, suspicionTimeoutInNanoseconds, clock);
    this.primaryMonitor =
        new PrimaryMonitor(vertx, control, view, self, suspicionTimeoutInNanoseconds, notifyPeers);
    observer.setRoundListener(this::onRound);
  }

  /**
   * Applies a revision of the configuration: replaces the router, and opens, resizes or closes the
   * endpoints' connection pools.
   *
   * @param newDatabase the group's description in this revision
   * @param vms the number of VMs that share the endpoints' connections
   * @param rank the index of this VM among them, from 0
   */
  public void update(FleetConfiguration configuration, Database newDatabase, int vms, int rank) {
    database = newDatabase;
    router = new Router(configuration, newDatabase, dataCentre);
    observer.update(newDatabase);
    for (EndpointDescription endpoint : newDatabase.endpoints()) {
      String previousAddress = addresses.put(endpoint.name(), endpoint.address());
      if (previousAddress != null && !previousAddress.equals(endpoint.address())) {
        pools.remove(endpoint.name()).close();
      }
      pool(endpoint).setLimit(connectionShare(endpoint.connections(), vms, rank));
    }
    pools.keySet().removeIf(name -> closeIfRemoved(name, newDatabase));
  }

  private boolean closeIfRemoved(String name, Database newDatabase) {
    boolean removed = newDatabase.endpoints().stream().noneMatch(each -> each.name().equals(name));
    if (removed) {
      pools.get(name).close();
    }
    return removed;
  }

  private static int connectionShare(int connections, int vms, int rank) {
    int remainder = rank < connections % vms ? 1 : 0;
    return Math.max(1, connections / vms + remainder);
  }

  private EndpointPool pool(EndpointDescription endpoint) {
    return pools.computeIfAbsent(
        endpoint.name(),
        name ->
            new EndpointPool(
                name, self, endpoint.address(), client, (int) settings.getMaximumWaiting(), clock));
  }

  private void onRound(ObservationRound round, long now) {
    primaryAnswered = round.primary().filter(found -> found.term() >= view.term()).isPresent();
    primaryMonitor.onRound(round, now);
  }

  /** Returns the group's description in the configuration. */
  public Database database() {
    return database;
  }

  /** Returns this VM's view of the group. */
  public GroupView view() {
    return view;
  }

  /** Returns the observer that runs the group's rounds and confirms answers. */
  public GroupObserver observer() {
    return observer;
  }

  /** Returns the router of the newest configuration, or null before the first update. */
  public Router router() {
    return router;
  }

  /** Returns the retry budget of requests to this group. */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  /** Returns the connection pool of an endpoint, or empty if the endpoint is not configured. */
  public Optional<EndpointPool> pool(String endpoint) {
    return Optional.ofNullable(pools.get(endpoint));
  }

  /** Returns the number of this VM's requests that wait or run at an endpoint. */
  public int loadOf(String endpoint) {
    return pool(endpoint).map(EndpointPool::load).orElse(0);
  }

  /**
   * Records that a request uses the group; a group in recent use is observed at every interval.
   *
   * @param now the current time, in nanoseconds
   */
  public void markUsed(long now) {
    if (!used || now - lastUsedAt > RECENT_USE_IN_NANOSECONDS) {
      observer.observe();
    }
    used = true;
    lastUsedAt = now;
  }

  /** Returns the term whose primary this VM suspects, or empty. */
  public Optional<Long> suspicion() {
    return primaryMonitor.suspicion();
  }

  /** Returns whether a promotion or a planned move that this VM ordered has not ended. */
  public boolean isOrdering() {
    return primaryMonitor.isOrdering();
  }

  /** Returns the number of promotions and planned moves that this VM has ordered. */
  public long orderCount() {
    return primaryMonitor.orderCount();
  }

  /**
   * Handles a peer's report on the group's primary.
   *
   * @param suspectedTerm the term whose primary the peer suspects, or empty if it suspects none
   * @param now the current time, in nanoseconds
   */
  public void onPeerSuspicion(String peer, Optional<Long> suspectedTerm, long now) {
    if (suspectedTerm.isPresent()) {
      primaryMonitor.onSuspicion(peer, suspectedTerm.get(), now);
    } else {
      primaryMonitor.onNoSuspicion(peer);
    }
  }

  /** Returns the term whose primary this VM plans to move, or empty. */
  public Optional<Long> plannedMove() {
    return primaryMonitor.plannedMove();
  }

  /**
   * Handles a peer's announcement that it plans to move the primary of a term.
   *
   * @param now the current time, in nanoseconds
   */
  public void onPeerPlannedMove(long term, long now) {
    boolean isNew = !transactionHold.isHeld(view.term(), now);
    transactionHold.onMovePlanned(term, now);
    if (isNew) {
      notifyPeers.run();
    }
  }

  /**
   * Handles a peer's report of its open transactions while it holds new ones back.
   *
   * @param term the term for which the peer holds transactions back
   * @param open the number of the peer's open transactions
   */
  public void onPeerHeldTransactions(String peer, long term, int open) {
    primaryMonitor.onHeldTransactions(peer, term, open);
  }

  /** Returns the term for which this VM holds new transactions back, or empty. */
  public Optional<Long> heldTerm(long now) {
    return transactionHold.isHeld(view.term(), now)
        ? Optional.of(transactionHold.term())
        : Optional.empty();
  }

  /** Returns the number of transactions that this VM has open at the group. */
  public int openTransactions() {
    return transactionHold.open();
  }

  /** Counts a transaction that begins as open. */
  public void onTransactionBegun() {
    transactionHold.onBegun();
  }

  /**
   * Counts a transaction that ended, or could not begin, as no longer open. Notifies peers at once
   * if it was the last one during a hold.
   *
   * @param now the current time, in nanoseconds
   */
  public void onTransactionEnded(long now) {
    transactionHold.onEnded();
    if (transactionHold.open() == 0 && transactionHold.isHeld(view.term(), now)) {
      notifyPeers.run();
    }
  }

  /** Handles a primary and its term reported by a peer. */
  public void onPeerPrimary(String endpoint, long term) {
    boolean newer = term > view.term();
    view.learnPrimary(endpoint, term);
    if (newer) {
      observer.observe();
    }
  }

  /**
   * Runs the periodic work that is due: observation, connection pools, promotions and planned
   * moves.
   *
   * @param candidates the VMs that can observe the group: data centre by VM name
   * @param liveVms supplies all VMs that may have open transactions, leaving ones included; called
   *     for planned moves only
   * @param now the current time, in nanoseconds
   */
  public void tick(
      FleetConfiguration configuration,
      Map<String, String> candidates,
      Supplier<Set<String>> liveVms,
      long now) {
    if (!candidates.equals(observerCandidates)) {
      observerCandidates = Map.copyOf(candidates);
      observers = Observers.of(database.name(), candidates);
    }
    boolean observes = observers.contains(self);
    boolean recentlyUsed = used && now - lastUsedAt <= RECENT_USE_IN_NANOSECONDS;
    boolean due = now - lastRoundAt >= settings.getObservationInterval();
    if ((observes || recentlyUsed) && due) {
      lastRoundAt = now;
      observe(recentlyUsed, now);
    }
    if (view.term() != routedTerm) {
      routedTerm = view.term();
      failWaiting("the primary has changed");
    }
    observer.tick(now);
    pools.values().forEach(pool -> pool.tick(now, settings.getConnectionIdleTimeout()));
    primaryMonitor.tick(configuration, database, observers, liveVms, now);
    primaryMonitor
        .plannedMove()
        .ifPresent(
            term -> {
              transactionHold.onMovePlanned(term, now);
              primaryMonitor.onHeldTransactions(self, term, transactionHold.open());
            });
  }

  /**
   * Starts a round. A group without recent use, whose primary answers, is observed in full only
   * once per full-round interval and at its primary otherwise.
   */
  private void observe(boolean recentlyUsed, long now) {
    boolean idle = !recentlyUsed && primaryAnswered && view.primary().isPresent();
    if (idle && now - lastFullRoundAt < FULL_ROUND_INTERVAL_IN_NANOSECONDS) {
      observer.observeOnly(view.primary().orElseThrow());
    } else {
      lastFullRoundAt = now;
      observer.observe();
    }
  }

  /** Fails the requests that wait for a connection as not sent. */
  public void failWaiting(String reason) {
    pools.values().forEach(pool -> pool.failWaiting(reason));
  }

  /** Ends the calls and confirmations that are running; their outcome is unknown. */
  public void endCalls() {
    pools.values().forEach(EndpointPool::closeAcquired);
    observer.expireConfirmations();
  }

  /** Closes all connection pools of the group. */
  public void close() {
    pools.values().forEach(EndpointPool::close);
  }
}
