package org.toucanmast.runtime.group;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.toucanmast.core.configuration.Database;
import org.toucanmast.core.configuration.EndpointDescription;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.LogSummary.Coverage;
import org.toucanmast.core.promotion.Promotion;
import org.toucanmast.runtime.endpoint.EndpointControl;
import org.toucanmast.runtime.endpoint.EndpointControl.ControlReply;

/**
 * Carries out one promotion or planned move through the group interface of the endpoints.
 *
 * <p>Fails when no majority granted the term or the chosen endpoint did not become primary; then
 * nothing is lost, and the next order takes a higher term.
 */
final class PromotionOrder {
  private static final long CALL_TIMEOUT_IN_MILLISECONDS = 400;
  private static final long GRACE_IN_MILLISECONDS = 30;
  private static final long CATCH_UP_PAUSE_IN_MILLISECONDS = 2;
  private static final int CATCH_UP_ATTEMPTS = 200;

  private final Vertx vertx;
  private final EndpointControl control;
  private final Database database;
  private final String orderer;
  private final Promotion promotion;
  private final Predicate<String> preferred;

  /**
   * Creates an order.
   *
   * @param orderer identifies this order; endpoints grant a term to one orderer only
   * @param preferred decides among equally advanced endpoints
   */
  PromotionOrder(
      Vertx vertx,
      EndpointControl control,
      Database database,
      String orderer,
      long term,
      Predicate<String> preferred) {
    this.vertx = vertx;
    this.control = control;
    this.database = database;
    this.orderer = orderer;
    this.promotion = new Promotion(term, database.endpoints().size());
    this.preferred = preferred;
  }

  /** Fences a majority and promotes the most advanced of the fenced; returns the new primary. */
  Future<EndpointStatus> promote() {
    return fenceMajority().compose(nothing -> promoteCandidate());
  }

  /**
   * Moves the primary without loss: stops it, waits until the target holds its whole log, then
   * promotes.
   */
  Future<EndpointStatus> move(String primary, String target) {
    EndpointDescription from = endpoint(primary);
    return control
        .fence(from, promotion.term(), orderer, CALL_TIMEOUT_IN_MILLISECONDS)
        .compose(
            verdict ->
                verdict.granted()
                    ? catchUp(endpoint(target), verdict.status(), CATCH_UP_ATTEMPTS)
                    : Future.failedFuture(primary + " did not grant the term"))
        .compose(nothing -> promote());
  }

  private EndpointDescription endpoint(String name) {
    return database.endpoints().stream()
        .filter(each -> each.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  private Future<Void> catchUp(EndpointDescription target, EndpointStatus last, int attempts) {
    return control
        .status(target, CALL_TIMEOUT_IN_MILLISECONDS)
        .compose(
            status -> {
              if (status.log().coverageOf(last.position()) == Coverage.COVERED) {
                return Future.succeededFuture();
              }
              if (attempts == 0) {
                return Future.failedFuture(target.name() + " does not catch up");
              }
              return vertx
                  .timer(CATCH_UP_PAUSE_IN_MILLISECONDS, TimeUnit.MILLISECONDS)
                  .compose(nothing -> catchUp(target, last, attempts - 1));
            });
  }

  private Future<Void> fenceMajority() {
    Promise<Void> majority = Promise.promise();
    for (EndpointDescription endpoint : database.endpoints()) {
      control
          .fence(endpoint, promotion.term(), orderer, CALL_TIMEOUT_IN_MILLISECONDS)
          .onComplete(verdict -> onVerdict(verdict, majority), cause -> onRefused(majority));
    }
    return majority.future();
  }

  private void onVerdict(ControlReply verdict, Promise<Void> majority) {
    if (!verdict.granted()) {
      onRefused(majority);
      return;
    }
    promotion.onFenced(verdict.status());
    if (promotion.isComplete()) {
      majority.tryComplete();
    } else if (promotion.hasMajority()) {
      vertx.setTimer(GRACE_IN_MILLISECONDS, timer -> majority.tryComplete());
    }
  }

  private void onRefused(Promise<Void> majority) {
    promotion.onNotFenced();
    if (promotion.isComplete()) {
      if (promotion.hasMajority()) {
        majority.tryComplete();
      } else {
        majority.tryFail("no majority granted term " + promotion.term());
      }
    }
  }

  private Future<EndpointStatus> promoteCandidate() {
    EndpointDescription chosen = endpoint(promotion.candidate(preferred).orElseThrow());
    return control
        .promote(chosen, promotion.term(), orderer, CALL_TIMEOUT_IN_MILLISECONDS)
        .compose(
            verdict ->
                verdict.granted()
                    ? Future.succeededFuture(verdict.status())
                    : Future.failedFuture(chosen.name() + " refused to be primary"));
  }
}
