package org.toucanmast.runtime.gateway;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.catalog.GroupLimits;
import org.toucanmast.core.concurrency.ConcurrencyRule;
import org.toucanmast.core.concurrency.EndpointLimits;
import org.toucanmast.core.concurrency.TimerDelay;
import org.toucanmast.core.feature.Feature;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.link.LocalHealth;
import org.toucanmast.core.mirror.ChangePromises;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.EndpointDialect;

/** Dependencies and configuration that all gateways of a VM share. */
public final class GatewayContext {
  /** A group that has had no statements for this long is not observed, in milliseconds. */
  private static final long ACTIVE_GROUP_WINDOW_IN_MILLISECONDS = 3_000;

  /** Limit of connections to an endpoint whose group is not in the configuration. */
  private static final int DEFAULT_MAXIMUM_CONNECTIONS = 4;

  /** Transactions that a gateway can open in each millisecond before handles repeat. */
  private static final long HANDLES_PER_INCARNATION_STEP = 1_000;

  /** Connections that have been idle for this long are closed. */
  private static final long IDLE_CONNECTION_TIMEOUT_IN_MILLISECONDS = 15_000;

  /**
   * The idle timeout at VMs other than the assigned and the nearby gateways, which need the
   * connections to the endpoints.
   */
  private static final long UNASSIGNED_IDLE_CONNECTION_TIMEOUT_IN_MILLISECONDS = 1_000;

  private final Vertx vertx;
  private final NetClient client;
  private final EndpointDialect dialect;
  private final VmClock clock;
  private final EventLog log;
  private final PromotionCoordinator promotions;
  private final String dataCentre;
  private Predicate<String> assignedGateway = group -> true;
  private Predicate<String> nearbyGateway = group -> false;
  private BooleanSupplier isolated = () -> false;
  private Catalog catalog = Catalog.EMPTY;
  private Optional<String> probeCustomer = Optional.empty();
  private Set<String> customers = Set.of();
  private Map<String, Long> takenOutSince = Map.of();
  private ChangePromises promises = ChangePromises.DEFAULT;
  private Set<Feature> features = Set.of();
  private LocalHealth localHealth = new LocalHealth();
  private StartedStatements startedStatements = StartedStatements.NONE;
  private MetricRegistry metrics = new MetricRegistry();
  private final TimerDelay timerDelay = new TimerDelay();
  private final Map<String, EndpointLimits> endpointLimits = new HashMap<>();
  private long lastTransactionHandle;

  /**
   * Creates a context with an empty configuration.
   *
   * @param dataCentre the data centre of the VM
   * @param incarnation a number that increases with each run of the process by more than the
   *     transactions of a run, so that no transaction has the handle of one of an earlier run
   */
  public GatewayContext(
      Vertx vertx,
      NetClient client,
      EndpointDialect dialect,
      VmClock clock,
      EventLog log,
      PromotionCoordinator promotions,
      String dataCentre,
      long incarnation) {
    this.vertx = vertx;
    this.client = client;
    this.dialect = dialect;
    this.clock = clock;
    this.log = log;
    this.promotions = promotions;
    this.dataCentre = dataCentre;
    this.lastTransactionHandle = incarnation * HANDLES_PER_INCARNATION_STEP;
  }

  /** Sets the predicate that tells whether this VM is the assigned gateway of a group. */
  public void setAssignedGateway(Predicate<String> predicate) {
    assignedGateway = predicate;
  }

  /**
   * Sets the predicate that tells whether reads of a group that arrive in this VM's data centre are
   * sent to this VM.
   */
  public void setNearbyGateway(Predicate<String> predicate) {
    nearbyGateway = predicate;
  }

  boolean isNearbyGateway(String group) {
    return nearbyGateway.test(group);
  }

  /** Sets the condition that tells whether most of the VMs that this VM monitors are silent. */
  public void setIsolated(BooleanSupplier condition) {
    isolated = condition;
  }

  /** Returns whether most of the VMs that this VM monitors do not answer it. */
  boolean isIsolated() {
    return isolated.getAsBoolean();
  }

  /**
   * Returns whether this VM is the assigned gateway of a group, the only one that orders
   * promotions.
   */
  boolean isAssignedGateway(String group) {
    return assignedGateway.test(group);
  }

  /** Applies a configuration. */
  public void setCatalog(Catalog newer) {
    catalog = newer;
    Set<String> holders = new TreeSet<>();
    newer.customersByKey().values().forEach(customer -> holders.add(customer.name()));
    probeCustomer = holders.stream().findFirst();
    holders.add(KeyClaim.ANONYMOUS);
    customers = holders;
  }

  /** Returns whether the customer of a request still holds the key by which it was made. */
  public boolean isHeld(KeyClaim<KeyFingerprint> claim) {
    return claim.isHeldIn(catalog);
  }

  /** Returns the groups that the configuration names. */
  public Set<String> configuredGroups() {
    Set<String> groups = new TreeSet<>(catalog.groups().keySet());
    catalog.routesByDatabase().values().forEach(route -> groups.add(route.group()));
    return groups;
  }

  /** Forgets what is learned of all groups but the given ones. */
  public void retainGroups(Set<String> groups) {
    endpointLimits.keySet().retainAll(groups);
  }

  /** Returns whether a customer holds a key, or the name stands for anonymous callers. */
  boolean holdsKey(String customer) {
    return customers.contains(customer);
  }

  /**
   * Sets the data centres that are taken out and get no new work, with the earliest times from
   * which they may have been.
   */
  public void setTakenOut(Map<String, Long> sinceByDataCentre) {
    takenOutSince = Map.copyOf(sinceByDataCentre);
  }

  /** Sets how soon acknowledged changes must have taken effect. */
  public void setPromises(ChangePromises newPromises) {
    promises = newPromises;
  }

  /** Sets who counts the statements that endpoints begin to run. */
  public void setStartedStatements(StartedStatements counter) {
    startedStatements = counter;
  }

  /** Returns how late the periodic checks of the gateways run. */
  public TimerDelay timerDelay() {
    return timerDelay;
  }

  /**
   * Returns the pool of an endpoint that has no connections yet.
   *
   * @param history the positions of the endpoint's group
   * @param changedSince the earliest time at which the entry may have been changed
   */
  EndpointPool newPool(PositionHistory history, EndpointEntry entry, long changedSince) {
    return new EndpointPool(
        client,
        dialect,
        clock,
        log,
        history,
        entry,
        changedSince,
        new PoolLimits(
            leavingPrimaryGraceInMilliseconds(),
            maximumConnections(entry.group()),
            learnedLimit(entry)));
  }

  /** Returns a new learned limit of an endpoint; empty where limits are not learned. */
  Optional<LearnedLimit> learnedLimit(EndpointEntry entry) {
    if (!isEnabled(Feature.LEARNED_LIMITS)) {
      return Optional.empty();
    }
    EndpointLimits group =
        endpointLimits.computeIfAbsent(
            entry.group(), name -> new EndpointLimits(ConcurrencyRule.GRADIENT));
    return Optional.of(
        new LearnedLimit(group, timerDelay, metrics, log, entry.id(), entry.slots()));
  }

  StartedStatements startedStatements() {
    return startedStatements;
  }

  /** Sets the parts of the product that are switched on, and the registry for their metrics. */
  public void setFeatures(Set<Feature> newFeatures, MetricRegistry registry) {
    features = Set.copyOf(newFeatures);
    metrics = registry;
  }

  MetricRegistry metrics() {
    return metrics;
  }

  /** Sets what decides whether this VM may judge endpoints, and how long it waits before. */
  public void setLocalHealth(LocalHealth newLocalHealth) {
    localHealth = newLocalHealth;
  }

  LocalHealth localHealth() {
    return localHealth;
  }

  /** Returns whether a part of the product is switched on. */
  public boolean isEnabled(Feature feature) {
    return features.contains(feature);
  }

  /** Returns the event loop on which all gateways run. */
  public Vertx vertx() {
    return vertx;
  }

  NetClient client() {
    return client;
  }

  EndpointDialect endpointDialect() {
    return dialect;
  }

  /** Returns the clock of the VM. */
  public VmClock clock() {
    return clock;
  }

  EventLog log() {
    return log;
  }

  String dataCentre() {
    return dataCentre;
  }

  PromotionCoordinator promotions() {
    return promotions;
  }

  /** Returns since when a data centre may have been taken out; empty if it is not. */
  OptionalLong takenOutSince(String dataCentre) {
    Long since = takenOutSince.get(dataCentre);
    return since == null ? OptionalLong.empty() : OptionalLong.of(since);
  }

  /** Returns how long a leaving primary may still get statements, in milliseconds. */
  long leavingPrimaryGraceInMilliseconds() {
    return promises.leavingPrimaryGraceInMilliseconds();
  }

  int maximumConnections(String group) {
    GroupLimits limits = catalog.groups().get(group);
    return limits == null ? DEFAULT_MAXIMUM_CONNECTIONS : limits.maximumConnections();
  }

  /** Returns the number of replicas that have received a commit before it is acknowledged. */
  int synchronousReplicas(String group) {
    GroupLimits limits = catalog.groups().get(group);
    return limits == null ? 0 : limits.synchronousReplicas();
  }

  long idleTransactionTimeoutMilliseconds() {
    return catalog.idleTransactionInMilliseconds();
  }

  long activeGroupWindowMilliseconds() {
    return ACTIVE_GROUP_WINDOW_IN_MILLISECONDS;
  }

  /**
   * Returns a customer for whom the gateway can open the connections of its own probes; empty if
   * none is configured.
   */
  Optional<String> probeCustomer() {
    return probeCustomer;
  }

  long nextTransactionHandle() {
    lastTransactionHandle++;
    return lastTransactionHandle;
  }

  /** Returns after which time an idle connection to an endpoint of a group is closed. */
  long idleConnectionTimeoutMilliseconds(String group) {
    return isAssignedGateway(group) || isNearbyGateway(group)
        ? IDLE_CONNECTION_TIMEOUT_IN_MILLISECONDS
        : UNASSIGNED_IDLE_CONNECTION_TIMEOUT_IN_MILLISECONDS;
  }
}
