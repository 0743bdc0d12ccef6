package org.toucanmast.runtime.group;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.toucanmast.core.configuration.Database;
import org.toucanmast.core.configuration.EndpointDescription;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.GroupView;
import org.toucanmast.core.group.ObservationRound;
import org.toucanmast.core.promotion.MoveDecision;
import org.toucanmast.core.promotion.PlannedMove;
import org.toucanmast.core.promotion.PrimaryWatch;
import org.toucanmast.core.promotion.PromotionDecision;
import org.toucanmast.runtime.endpoint.EndpointControl;

/** Watches one group's primary for this VM, and orders promotions and moves when they are due. */
final class PrimaryMonitor {
  private static final Logger log = System.getLogger(PrimaryMonitor.class.getName());
  private static final long STEP_IN_NANOSECONDS = 150_000_000;
  private static final long REPORT_LIFE_IN_NANOSECONDS = 500_000_000;
  private static final long PAUSE_AFTER_ORDER_IN_NANOSECONDS = 300_000_000;
  private static final long PAUSE_AFTER_FAILED_MOVE_IN_NANOSECONDS = 2_000_000_000;

  /** Under the deadlines of the callers that wait to begin a transaction meanwhile. */
  private static final long MOVE_PATIENCE_IN_NANOSECONDS = 1_000_000_000;

  private final Vertx vertx;
  private final EndpointControl control;
  private final GroupView view;
  private final String self;
  private final PrimaryWatch watch;
  private final PromotionDecision decision =
      new PromotionDecision(STEP_IN_NANOSECONDS, REPORT_LIFE_IN_NANOSECONDS);
  private final PlannedMove plannedMove = new PlannedMove(MOVE_PATIENCE_IN_NANOSECONDS);
  private final Runnable changed;
  private long highestTerm;
  private long notBefore;
  private boolean ordering;
  private boolean suspecting;
  private long orders;

  /**
   * Creates a duty.
   *
   * @param self the name of this run of this VM
   * @param suspicionTimeout the silence after which a primary is suspected, in nanoseconds
   * @param changed called when peers should hear at once of a suspicion or a new primary
   */
  PrimaryMonitor(
      Vertx vertx,
      EndpointControl control,
      GroupView view,
      String self,
      long suspicionTimeout,
      Runnable changed) {
    this.vertx = vertx;
    this.control = control;
    this.view = view;
    this.self = self;
    this.watch = new PrimaryWatch(suspicionTimeout);
    this.changed = changed;
  }

  void onRound(ObservationRound round, long now) {
    highestTerm = Math.max(highestTerm, round.highestTerm());
    watch.onRound(round, view.term(), now);
  }

  void onSuspicion(String observer, long term, long now) {
    decision.onSuspicion(observer, term, now);
  }

  void onNoSuspicion(String observer) {
    decision.onNoSuspicion(observer);
  }

  /** Returns the term whose primary this VM suspects, or empty. */
  Optional<Long> suspicion() {
    return suspecting ? Optional.of(view.term()) : Optional.empty();
  }

  long orders() {
    return orders;
  }

  /** Returns the term whose primary is about to be moved, or empty. */
  Optional<Long> plannedMove() {
    return plannedMove.isAnnounced() ? Optional.of(view.term()) : Optional.empty();
  }

  /** Takes in how many transactions a VM still runs while it begins none. */
  void onHeldTransactions(String vm, long term, int open) {
    plannedMove.onHeld(vm, term, open);
  }

  /**
   * Decides and acts.
   *
   * @param observers the VMs that observe the group, the first to order first
   * @param vms the live VMs, any of which may have transactions open
   */
  void tick(
      FleetConfiguration configuration,
      Database database,
      List<String> observers,
      Supplier<Set<String>> vms,
      long now) {
    noteOwnSuspicion(observers.contains(self) && watch.suspects(now), now);
    if (ordering || highestTerm == 0 || now - notBefore < 0) {
      return;
    }
    if (decision.shouldOrder(self, observers, view.term(), now)) {
      order(configuration, database, now);
    } else if (observers.indexOf(self) == 0 && !suspecting) {
      Optional<String> target = MoveDecision.target(configuration, database, view);
      target.ifPresentOrElse(chosen -> planMove(database, chosen, vms, now), plannedMove::withdraw);
    } else {
      plannedMove.withdraw();
    }
  }

  private void planMove(Database database, String target, Supplier<Set<String>> vms, long now) {
    boolean isNew = !plannedMove.isAnnounced();
    plannedMove.announce(view.term(), now);
    if (plannedMove.mayProceed(vms.get(), now)) {
      move(database, target, now);
    } else if (isNew) {
      changed.run();
    }
  }

  private void noteOwnSuspicion(boolean suspects, long now) {
    boolean isNew = suspects && !suspecting;
    suspecting = suspects;
    if (suspects) {
      decision.onSuspicion(self, view.term(), now);
    } else {
      decision.onNoSuspicion(self);
    }
    if (isNew) {
      log.log(Level.WARNING, "primary of term {0} does not answer", view.term());
      changed.run();
    }
  }

  private void order(FleetConfiguration configuration, Database database, long now) {
    Predicate<String> preferred =
        name ->
            database.endpoints().stream()
                .filter(endpoint -> endpoint.name().equals(name))
                .anyMatch(configuration::acceptsWork);
    PromotionOrder order = newOrder(database, preferred, now);
    run(database, order.promote(), PAUSE_AFTER_ORDER_IN_NANOSECONDS, now);
  }

  private void move(Database database, String target, long now) {
    String primary = view.primary().orElseThrow();
    boolean known =
        database.endpoints().stream().map(EndpointDescription::name).anyMatch(primary::equals);
    if (!known) {
      return;
    }
    PromotionOrder order = newOrder(database, target::equals, now);
    run(database, order.move(primary, target), PAUSE_AFTER_FAILED_MOVE_IN_NANOSECONDS, now);
  }

  private PromotionOrder newOrder(Database database, Predicate<String> preferred, long now) {
    long term = Math.max(view.term(), highestTerm) + 1;
    highestTerm = term;
    orders++;
    String orderer = self + "/" + now;
    log.log(Level.WARNING, "{0}: ordering a primary for term {1}", database.name(), term);
    return new PromotionOrder(vertx, control, database, orderer, term, preferred);
  }

  private void run(Database database, Future<EndpointStatus> order, long pause, long now) {
    ordering = true;
    decision.onOrdered();
    order
        .onSuccess(
            status -> {
              view.learn(status);
              notBefore = now + PAUSE_AFTER_ORDER_IN_NANOSECONDS;
              log.log(
                  Level.WARNING,
                  "{0}: {1} is primary of term {2}",
                  database.name(),
                  status.endpoint(),
                  status.term());
              changed.run();
            })
        .onFailure(
            cause -> {
              notBefore = now + pause;
              log.log(Level.WARNING, "{0}: order failed: {1}", database.name(), cause.getMessage());
            })
        .onComplete(
            done -> {
              ordering = false;
              plannedMove.withdraw();
            });
  }
}
