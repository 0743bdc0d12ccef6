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

/** All that one VM keeps for one database group. */
public final class DatabaseGroup {
  private static final double RETRY_FRACTION = 0.2;
  private static final double RETRY_CAPACITY = 20;
  private static final long WHOLE_INTERVAL_IN_NANOSECONDS = 1_000_000_000L;
  private static final long USED_LATELY_IN_NANOSECONDS = 5_000_000_000L;

  /** As long as a peer's suspicion counts: some heartbeats. */
  private static final long HOLD_LIFE_IN_NANOSECONDS = 500_000_000;

  private final DatabaseSettings settings;
  private final HttpClientAgent client;
  private final String dataCentre;
  private final LongSupplier clock;
  private final GroupView view = new GroupView();
  private final GroupObserver observer;
  private final PromotionDuty promotion;
  private final TransactionHold hold = new TransactionHold(HOLD_LIFE_IN_NANOSECONDS);
  private final RetryBudget retryBudget = new RetryBudget(RETRY_FRACTION, RETRY_CAPACITY);
  private final Map<String, EndpointPool> pools = new HashMap<>();
  private final Map<String, String> addresses = new HashMap<>();
  private final String self;
  private final Runnable changed;
  private Map<String, String> observerCandidates = Map.of();
  private List<String> observers = List.of();
  private Database database;
  private Router router;
  private long usedAt;
  private boolean used;
  private long routedTerm;
  private long observedAt;
  private long wholeObservedAt;
  private boolean primaryAnswers;

  /**
   * Creates the group.
   *
   * @param self the name of this VM
   * @param dataCentre where this VM runs
   * @param changed called when peers should hear at once of a suspicion or a new primary
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
      Runnable changed) {
    this.self = self;
    this.changed = changed;
    this.client = client;
    this.settings = settings;
    this.database = database;
    this.dataCentre = dataCentre;
    this.clock = clock;
    long timeout = settings.getSuspicionTimeout();
    this.observer = new GroupObserver(vertx, control, database, view, timeout, clock);
    this.promotion = new PromotionDuty(vertx, control, view, self, timeout, changed);
    observer.onFinished(this::onRound);
  }

  /**
   * Takes in a revision of the configuration.
   *
   * @param vms how many VMs share the endpoints' connections
   * @param rank this VM's place among them, from 0
   */
  public void update(FleetConfiguration configuration, Database described, int vms, int rank) {
    database = described;
    router = new Router(configuration, described, dataCentre);
    observer.update(described);
    for (EndpointDescription endpoint : described.endpoints()) {
      String earlier = addresses.put(endpoint.name(), endpoint.address());
      if (earlier != null && !earlier.equals(endpoint.address())) {
        pools.remove(endpoint.name()).close();
      }
      pool(endpoint).setLimit(connectionShare(endpoint.connections(), vms, rank));
    }
    pools.keySet().removeIf(name -> closeIfGone(name, described));
  }

  private boolean closeIfGone(String name, Database described) {
    boolean gone = described.endpoints().stream().noneMatch(each -> each.name().equals(name));
    if (gone) {
      pools.get(name).close();
    }
    return gone;
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
    primaryAnswers = round.primary().filter(found -> found.term() >= view.term()).isPresent();
    promotion.onRound(round, now);
  }

  /** Returns the group's description. */
  public Database database() {
    return database;
  }

  /** Returns what this VM knows of the group. */
  public GroupView view() {
    return view;
  }

  /** Returns the rounds and confirmations of the group. */
  public GroupObserver observer() {
    return observer;
  }

  /** Returns the choice of endpoints. */
  public Router router() {
    return router;
  }

  /** Returns the budget of repeated sendings. */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  /** Returns the connections to an endpoint. */
  public Optional<EndpointPool> pool(String endpoint) {
    return Optional.ofNullable(pools.get(endpoint));
  }

  /** Returns the load of an endpoint as this VM sees it. */
  public int loadOf(String endpoint) {
    return pool(endpoint).map(EndpointPool::load).orElse(0);
  }

  /** Notes that a request uses the group, which keeps its status fresh. */
  public void touch(long now) {
    if (!used || now - usedAt > USED_LATELY_IN_NANOSECONDS) {
      observer.observe();
    }
    used = true;
    usedAt = now;
  }

  /** Returns the term whose primary this VM suspects, or empty. */
  public Optional<Long> suspicion() {
    return promotion.suspicion();
  }

  /** Returns how many promotions and moves this VM has ordered. */
  public long orders() {
    return promotion.orders();
  }

  /** Takes in a peer's judgement; empty means that it suspects nothing. */
  public void onPeerJudgement(String peer, Optional<Long> suspectedTerm, long now) {
    if (suspectedTerm.isPresent()) {
      promotion.onSuspicion(peer, suspectedTerm.get(), now);
    } else {
      promotion.onNoSuspicion(peer);
    }
  }

  /** Returns the term whose primary this VM is about to move, or empty. */
  public Optional<Long> plannedMove() {
    return promotion.plannedMove();
  }

  /** Takes in that a peer is about to move the primary of a term. */
  public void onPeerPlansMove(long term, long now) {
    boolean isNew = !hold.isHeld(view.term(), now);
    hold.onPlanned(term, now);
    if (isNew) {
      changed.run();
    }
  }

  /** Takes in how many transactions a peer still runs while it begins none. */
  public void onPeerHolds(String peer, long term, int open) {
    promotion.onHeldTransactions(peer, term, open);
  }

  /** Returns the term in which this VM begins no transaction now, or empty. */
  public Optional<Long> heldTerm(long now) {
    return hold.isHeld(view.term(), now) ? Optional.of(hold.term()) : Optional.empty();
  }

  /** Returns how many transactions this VM runs at the group. */
  public int openTransactions() {
    return hold.open();
  }

  /** Counts a transaction that begins. */
  public void onTransactionBegun() {
    hold.onBegun();
  }

  /** Counts a transaction whose outcome is known; peers hear of the last one at once. */
  public void onTransactionEnded(long now) {
    hold.onEnded();
    if (hold.open() == 0 && hold.isHeld(view.term(), now)) {
      changed.run();
    }
  }

  /** Takes in a primary that a peer knows. */
  public void onPeerPrimary(String endpoint, long term) {
    boolean newer = term > view.term();
    view.learnPrimary(endpoint, term);
    if (newer) {
      observer.observe();
    }
  }

  /**
   * Does what is due.
   *
   * @param candidates data centre by name of the VMs that can observe
   * @param liveVms all VMs that may run transactions, leaving ones too; asked for planned moves
   *     only
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
    boolean usedLately = used && now - usedAt <= USED_LATELY_IN_NANOSECONDS;
    boolean due = now - observedAt >= settings.getObservationInterval();
    if ((observes || usedLately) && due) {
      observedAt = now;
      observe(usedLately, now);
    }
    if (view.term() != routedTerm) {
      routedTerm = view.term();
      pools.values().forEach(pool -> pool.failWaiting("the primary has changed"));
    }
    observer.tick(now);
    pools.values().forEach(pool -> pool.tick(now, settings.getConnectionIdleTimeout()));
    promotion.tick(configuration, database, observers, liveVms, now);
    promotion
        .plannedMove()
        .ifPresent(
            term -> {
              hold.onPlanned(term, now);
              promotion.onHeldTransactions(self, term, hold.open());
            });
  }

  /** At rest only the primary is asked each time, and the whole group now and then. */
  private void observe(boolean usedLately, long now) {
    boolean atRest = !usedLately && primaryAnswers && view.primary().isPresent();
    if (atRest && now - wholeObservedAt < WHOLE_INTERVAL_IN_NANOSECONDS) {
      observer.observeOnly(view.primary().orElseThrow());
    } else {
      wholeObservedAt = now;
      observer.observe();
    }
  }

  /** Ends all use of the group. */
  public void close() {
    pools.values().forEach(EndpointPool::close);
  }
}
