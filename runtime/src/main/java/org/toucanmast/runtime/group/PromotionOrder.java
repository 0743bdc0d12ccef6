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
 * Executes one promotion or planned move through the group interface of the endpoints.
 *
 * <p>An order fails if no majority granted the term or if the candidate did not become primary. A
 * failed order loses no data; the next order takes a higher term.
 */
final class PromotionOrder {
  private static final long CALL_TIMEOUT_IN_MILLISECONDS = 400;
  private static final long REMAINING_FENCES_WAIT_IN_MILLISECONDS = 30;
  private static final long CATCH_UP_INTERVAL_IN_MILLISECONDS = 2;
  private static final int MAXIMUM_CATCH_UP_POLLS = 200;

  private final Vertx vertx;
  private final EndpointControl control;
  private final Database database;
  private final String orderer;
  private final Promotion promotion;
  private final Predicate<String> preferred;

  /**
   * Creates an order.
   *
   * @param orderer identifies this order; an endpoint grants a term to one orderer only
   * @param term the term of the new primary
   * @param preferred breaks ties between equally advanced endpoints
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

  /**
   * Fences a majority and promotes the most advanced of the fenced endpoints.
   *
   * @return the status of the new primary
   */
  Future<EndpointStatus> promote() {
    return fenceMajority().compose(nothing -> promoteCandidate());
  }

  /**
   * Moves the primary without losing writes: fences it, waits until the target has caught up with
   * its log, then promotes.
   *
   * @param primary the current primary
   * @param target the endpoint to promote
   * @return the status of the new primary
   */
  Future<EndpointStatus> move(String primary, String target) {
    EndpointDescription currentPrimary = endpoint(primary);
    return control
        .fence(currentPrimary, promotion.term(), orderer, CALL_TIMEOUT_IN_MILLISECONDS)
        .compose(
            verdict ->
                verdict.granted()
                    ? catchUp(endpoint(target), verdict.status(), MAXIMUM_CATCH_UP_POLLS)
                    : Future.failedFuture(primary + " refused the fence of the planned move"))
        .compose(nothing -> promote());
  }

  private EndpointDescription endpoint(String name) {
    return database.endpoints().stream()
        .filter(each -> each.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  private Future<Void> catchUp(
      EndpointDescription target, EndpointStatus fencedPrimary, int remainingPolls) {
    return control
        .status(target, CALL_TIMEOUT_IN_MILLISECONDS)
        .compose(
            status -> {
              if (status.log().coverageOf(fencedPrimary.position()) == Coverage.COVERED) {
                return Future.succeededFuture();
              }
              if (remainingPolls == 0) {
                return Future.failedFuture(
                    target.name() + " did not catch up with the fenced primary");
              }
              return vertx
                  .timer(CATCH_UP_INTERVAL_IN_MILLISECONDS, TimeUnit.MILLISECONDS)
                  .compose(nothing -> catchUp(target, fencedPrimary, remainingPolls - 1));
            });
  }

  private Future<Void> fenceMajority() {
    Promise<Void> majority = Promise.promise();
    for (EndpointDescription endpoint : database.endpoints()) {
      control
          .fence(endpoint, promotion.term(), orderer, CALL_TIMEOUT_IN_MILLISECONDS)
          .onComplete(verdict -> onVerdict(verdict, majority), cause -> onNotGranted(majority));
    }
    return majority.future();
  }

  private void onVerdict(ControlReply verdict, Promise<Void> majority) {
    if (!verdict.granted()) {
      onNotGranted(majority);
      return;
    }
    promotion.onFenced(verdict.status());
    if (promotion.isComplete()) {
      majority.tryComplete();
    } else if (promotion.hasMajority()) {
      vertx.setTimer(REMAINING_FENCES_WAIT_IN_MILLISECONDS, timer -> majority.tryComplete());
    }
  }

  private void onNotGranted(Promise<Void> majority) {
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
    EndpointDescription candidate = endpoint(promotion.candidate(preferred).orElseThrow());
    return control
        .promote(candidate, promotion.term(), orderer, CALL_TIMEOUT_IN_MILLISECONDS)
        .compose(
            verdict ->
                verdict.granted()
                    ? Future.succeededFuture(verdict.status())
                    : Future.failedFuture(candidate.name() + " refused the promotion"));
  }
}
