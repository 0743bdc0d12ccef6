package org.toucanmast.runtime.session;

import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.feature.Feature;
import org.toucanmast.core.scheduling.OperationObjective;
import org.toucanmast.core.session.SessionStateBudget;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.stop.StopPhase;
import org.toucanmast.core.stop.StopSchedule;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.CallerDialect;

/** The components and the state that all sessions of a VM share. */
final class SessionContext {
  /**
   * The part of the heap that sessions may fill with what they keep, one character a byte: a fifth
   * leaves room for the copies that statements and links make of it.
   */
  private static final long HEAP_SHARE_OF_SESSION_STATE = 5;

  private final Vertx vertx;
  private final CallerDialect dialect;
  private final VmClock clock;
  private final EventLog log;
  private final StatementSender sender;
  private final SessionAllowances allowances;
  private final SessionMetrics metrics;
  private final SessionStateBudget stateBudget =
      new SessionStateBudget(Runtime.getRuntime().maxMemory() / HEAP_SHARE_OF_SESSION_STATE);
  private Catalog catalog = Catalog.EMPTY;
  private Supplier<String> mirrorAges = () -> "";
  private boolean schedulesByObjective;
  private boolean initialized;
  private Optional<StopSchedule> stop = Optional.empty();

  SessionContext(
      Vertx vertx,
      CallerDialect dialect,
      VmClock clock,
      EventLog log,
      StatementSender sender,
      SessionAllowances allowances,
      SessionMetrics metrics) {
    this.vertx = vertx;
    this.dialect = dialect;
    this.clock = clock;
    this.log = log;
    this.sender = sender;
    this.allowances = allowances;
    this.metrics = metrics;
  }

  Vertx vertx() {
    return vertx;
  }

  CallerDialect dialect() {
    return dialect;
  }

  VmClock clock() {
    return clock;
  }

  EventLog log() {
    return log;
  }

  StatementSender sender() {
    return sender;
  }

  SessionAllowances allowances() {
    return allowances;
  }

  SessionMetrics metrics() {
    return metrics;
  }

  /** Returns the limit of what all sessions of this VM keep for their callers. */
  SessionStateBudget stateBudget() {
    return stateBudget;
  }

  Catalog catalog() {
    return catalog;
  }

  void setCatalog(Catalog newCatalog) {
    catalog = newCatalog;
    metrics.onCatalog(newCatalog);
  }

  /** Returns how old this VM's knowledge of each kind of the store's objects is, for the log. */
  String mirrorAges() {
    return mirrorAges.get();
  }

  void setMirrorAges(Supplier<String> newMirrorAges) {
    mirrorAges = newMirrorAges;
  }

  /**
   * Returns what is left of an objective, in milliseconds; empty if statements do not carry it.
   *
   * @param receivedAt when the statement was received
   */
  OptionalLong objectiveLeft(OperationObjective objective, long receivedAt) {
    return schedulesByObjective
        ? OptionalLong.of(objective.left(receivedAt, clock.now()))
        : OptionalLong.empty();
  }

  /** Sets the parts of the product that are switched on. */
  void setFeatures(Set<Feature> features) {
    schedulesByObjective = features.contains(Feature.SCHEDULING_BY_OBJECTIVE);
  }

  /** Returns whether this VM has the state that it needs to handle messages of sessions. */
  boolean isInitialized() {
    return initialized;
  }

  void setInitialized() {
    initialized = true;
  }

  /** Returns the phase of this VM's planned stop. */
  StopPhase stopPhase() {
    return stop.map(schedule -> schedule.phaseAt(clock.now())).orElse(StopPhase.SERVING);
  }

  /** Begins the planned stop of this VM. */
  void beginStop(StopSchedule schedule) {
    stop = Optional.of(schedule);
  }

  /** Returns a request that ends before this VM does, if it stops. */
  StatementRequest limitedByStop(StatementRequest request) {
    return stop.map(schedule -> request.limitedTo(schedule.timeForStatement(clock.now())))
        .orElse(request);
  }
}
