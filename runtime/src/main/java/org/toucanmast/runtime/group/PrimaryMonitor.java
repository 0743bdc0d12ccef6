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
import org.toucanmast.core.promotion.PrimaryTimeoutDetector;
import org.toucanmast.core.promotion.PromotionDecision;
import org.toucanmast.runtime.endpoint.EndpointControl;

/** Monitors the primary of one group, and orders promotions and planned moves when they are due. */
final class PrimaryMonitor {
  private static final Logger log = System.getLogger(PrimaryMonitor.class.getName());
  private static final long ORDER_DELAY_PER_RANK_IN_NANOSECONDS = 150_000_000;
  private static final long SUSPICION_LIFETIME_IN_NANOSECONDS = 500_000_000;
  private static final long PAUSE_AFTER_ORDER_IN_NANOSECONDS = 300_000_000;
  private static final long PAUSE_AFTER_FAILED_MOVE_IN_NANOSECONDS = 2_000_000_000;

  /**
   * Shorter than the deadlines of callers that wait to begin a transaction during a planned move.
   */
  private static final long OPEN_TRANSACTION_WAIT_IN_NANOSECONDS = 1_000_000_000;

  private final Vertx vertx;
  private final EndpointControl control;
  private final GroupView view;
  private final String self;
  private final PrimaryTimeoutDetector primaryWatch;
  private final PromotionDecision promotionDecision =
      new PromotionDecision(ORDER_DELAY_PER_RANK_IN_NANOSECONDS, SUSPICION_LIFETIME_IN_NANOSECONDS);
  private final PlannedMove plannedMove = new PlannedMove(OPEN_TRANSACTION_WAIT_IN_NANOSECONDS);
  private final Runnable notifyPeers;
  private long highestTerm;
  private long nextOrderAt;
  private boolean orderInProgress;
  private boolean suspecting;
  private long orderCount;

  /**
   * Creates a monitor.
   *
   * @param self the name of this VM
   * @param suspicionTimeoutInNanoseconds the time without an answer after which a primary is
   *     suspected
   * @param notifyPeers called when peers must learn at once of a suspicion, a planned move or a new
   *     primary
   */
  PrimaryMonitor(
      Vertx vertx,
      EndpointControl control,
      GroupView view,
      String self,
      long suspicionTimeoutInNanoseconds,
      Runnable notifyPeers) {
    this.vertx = vertx;
    this.control = control;
    this.view = view;
    this.self = self;
    this.primaryWatch = new PrimaryTimeoutDetector(suspicionTimeoutInNanoseconds);
    this.notifyPeers = notifyPeers;
  }

  void onRound(ObservationRound round, long now) {
    highestTerm = Math.max(highestTerm, round.highestTerm());
    primaryWatch.onRound(round, view.term(), now);
  }

  void onSuspicion(String observer, long term, long now) {
    promotionDecision.onSuspicion(observer, term, now);
  }

  void onNoSuspicion(String observer) {
    promotionDecision.onNoSuspicion(observer);
  }

  /** Returns the term whose primary this VM suspects, or empty. */
  Optional<Long> suspicion() {
    return suspecting ? Optional.of(view.term()) : Optional.empty();
  }

  /** Returns whether a promotion or a planned move that this VM ordered has not ended. */
  boolean isOrdering() {
    return orderInProgress;
  }

  long orderCount() {
    return orderCount;
  }

  /** Returns the term whose primary this VM plans to move, or empty. */
  Optional<Long> plannedMove() {
    return plannedMove.isAnnounced() ? Optional.of(view.term()) : Optional.empty();
  }

  /** Handles a VM's report of its open transactions while it holds new ones back. */
  void onHeldTransactions(String vm, long term, int open) {
    plannedMove.onHoldReported(vm, term, open);
  }

  /**
   * Updates the suspicion of this VM, and orders a promotion or a planned move if one is due.
   *
   * @param observers the VMs that observe the group, by rank; the first orders first
   * @param liveVms supplies the live VMs, any of which may have open transactions
   * @param now the current time, in nanoseconds
   */
  void tick(
      FleetConfiguration configuration,
      Database database,
      List<String> observers,
      Supplier<Set<String>> liveVms,
      long now) {
    updateOwnSuspicion(observers.contains(self) && primaryWatch.isSuspected(now), now);
    if (orderInProgress || highestTerm == 0 || now - nextOrderAt < 0) {
      return;
    }
    if (promotionDecision.shouldOrder(self, observers, view.term(), now)) {
      orderPromotion(configuration, database, now);
    } else if (observers.indexOf(self) == 0 && !suspecting) {
      Optional<String> target = MoveDecision.target(configuration, database, view);
      target.ifPresentOrElse(
          chosen -> planMove(database, chosen, liveVms, now), plannedMove::withdraw);
    } else {
      plannedMove.withdraw();
    }
  }

  private void planMove(Database database, String target, Supplier<Set<String>> liveVms, long now) {
    boolean isNew = !plannedMove.isAnnounced();
    plannedMove.announce(view.term(), now);
    if (plannedMove.mayProceed(liveVms.get(), now)) {
      orderMove(database, target, now);
    } else if (isNew) {
      notifyPeers.run();
    }
  }

  private void updateOwnSuspicion(boolean suspects, long now) {
    boolean isNew = suspects && !suspecting;
    suspecting = suspects;
    if (suspects) {
      promotionDecision.onSuspicion(self, view.term(), now);
    } else {
      promotionDecision.onNoSuspicion(self);
    }
    if (isNew) {
      log.log(
          Level.WARNING,
          "primary of term {0} did not answer within the suspicion timeout",
          view.term());
      notifyPeers.run();
    }
  }

  private void orderPromotion(FleetConfiguration configuration, Database database, long now) {
    Predicate<String> preferred =
        name ->
            database.endpoints().stream()
                .filter(endpoint -> endpoint.name().equals(name))
                .anyMatch(configuration::acceptsWork);
    PromotionOrder order = newOrder(database, preferred, now);
    run(database, order.promote(), PAUSE_AFTER_ORDER_IN_NANOSECONDS, now);
  }

  private void orderMove(Database database, String target, long now) {
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
    orderCount++;
    String orderer = self + "/" + now;
    log.log(
        Level.WARNING,
        "{0}: ordering the promotion of a primary for term {1}",
        database.name(),
        term);
    return new PromotionOrder(vertx, control, database, orderer, term, preferred);
  }

  private void run(
      Database database, Future<EndpointStatus> order, long failurePauseInNanoseconds, long now) {
    orderInProgress = true;
    promotionDecision.onOrdered();
    order
        .onSuccess(
            status -> {
              view.learn(status);
              nextOrderAt = now + PAUSE_AFTER_ORDER_IN_NANOSECONDS;
              log.log(
                  Level.WARNING,
                  "{0}: {1} is primary of term {2}",
                  database.name(),
                  status.endpoint(),
                  status.term());
              notifyPeers.run();
            })
        .onFailure(
            cause -> {
              nextOrderAt = now + failurePauseInNanoseconds;
              log.log(
                  Level.WARNING, "{0}: promotion failed: {1}", database.name(), cause.getMessage());
            })
        .onComplete(
            done -> {
              orderInProgress = false;
              plannedMove.withdraw();
            });
  }
}
