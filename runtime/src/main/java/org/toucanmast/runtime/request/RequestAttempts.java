package org.toucanmast.runtime.request;

import io.vertx.core.Future;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.group.AcknowledgementRule;
import org.toucanmast.core.group.LogSummary.Coverage;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.core.request.RequestKind;
import org.toucanmast.core.routing.Destination;
import org.toucanmast.core.session.SessionToken;
import org.toucanmast.core.session.SessionView;
import org.toucanmast.runtime.endpoint.EndpointCall;
import org.toucanmast.runtime.endpoint.EndpointCall.Operation;
import org.toucanmast.runtime.endpoint.EndpointConnection;
import org.toucanmast.runtime.endpoint.EndpointException;
import org.toucanmast.runtime.endpoint.EndpointReply;
import org.toucanmast.runtime.group.DatabaseGroup;

/**
 * Runs one admitted request, with retries.
 *
 * <p>A write that is not idempotent is retried only if it was not sent, or if the endpoint reported
 * that it did not run.
 */
final class RequestAttempts {
  private final RequestProcessor processor;
  private final DatabaseGroup group;
  private final CallerRequest request;
  private final Set<String> triedEndpoints = new HashSet<>();
  private boolean mayHaveRun;
  private boolean viewRefreshed;
  private long uncertainWriteTerm;

  RequestAttempts(RequestProcessor processor, DatabaseGroup group, CallerRequest request) {
    this.processor = processor;
    this.group = group;
    this.request = request;
  }

  Future<CallerAnswer> run() {
    group.retryBudget().recordFirstAttempt();
    return attempt().recover(cause -> Future.failedFuture(toFailure(cause)));
  }

  private Future<CallerAnswer> attempt() {
    if (sessionHasSeenLostWrite()) {
      return refuse(Refusal.LOST_WRITE);
    }
    Optional<Destination> destination = chooseDestination();
    if (destination.isEmpty()) {
      return retry();
    }
    if (shouldRefreshView(destination.get())) {
      viewRefreshed = true;
      return group.observer().refresh().compose(nothing -> attempt());
    }
    return processor
        .connect(group, destination.get(), request)
        .compose(
            connection -> send(destination.get(), connection),
            cause -> onNotConnected(destination.get(), cause));
  }

  /**
   * Returns whether a read should refresh the replicas' positions before it is sent to the primary.
   * The refresh costs one round, no more than the confirmation of a primary's answer.
   */
  private boolean shouldRefreshView(Destination destination) {
    boolean replicaMayServe = request.token().knows(database()) || request.freshness().acceptsAge();
    return request.kind() == RequestKind.READ
        && destination.primary()
        && replicaMayServe
        && !request.token().viewOf(database()).isUncertain()
        && !viewRefreshed;
  }

  private Optional<Destination> chooseDestination() {
    if (request.kind() != RequestKind.READ) {
      return group.router().forPrimary(group.view(), request.token());
    }
    return group
        .router()
        .forRead(
            group.view(),
            request.token(),
            request.freshness(),
            processor.now(),
            triedEndpoints,
            group::loadOf);
  }

  private boolean sessionHasSeenLostWrite() {
    SessionView sessionView = request.token().viewOf(database());
    return group
        .view()
        .primary()
        .flatMap(primary -> group.view().statusOf(primary))
        .filter(status -> status.term() == group.view().term())
        .filter(status -> sessionView.coverageIn(status.log()) == Coverage.LOST)
        .isPresent();
  }

  private Future<CallerAnswer> onNotConnected(Destination destination, Throwable cause) {
    if (cause instanceof RefusedException) {
      return Future.failedFuture(cause);
    }
    triedEndpoints.add(destination.endpoint());
    group.view().forget(destination.endpoint());
    return retry();
  }

  private Future<CallerAnswer> send(Destination destination, EndpointConnection connection) {
    long sentAt = processor.now();
    EndpointCall call =
        new EndpointCall(
            Operation.RUN,
            request.principal().name(),
            request.id(),
            request.kind(),
            destination.term(),
            destination.primary(),
            request.statements());
    return connection
        .call(call, processor.callTimeoutInMilliseconds(request))
        .onComplete(done -> processor.release(group, connection))
        .compose(
            reply -> onReply(destination, reply, sentAt), cause -> onNoReply(destination, cause));
  }

  private Future<CallerAnswer> onNoReply(Destination destination, Throwable cause) {
    boolean sent =
        !(cause instanceof EndpointException error)
            || error.kind() == EndpointException.Kind.NO_ANSWER;
    triedEndpoints.add(destination.endpoint());
    group.view().forget(destination.endpoint());
    if (!sent) {
      return retry();
    }
    recordPossibleRun(destination.term());
    boolean mayRetry = request.kind().isRepeatable() && group.retryBudget().tryTakeRetry();
    return mayRetry ? retry() : refuse(Refusal.OUTCOME_UNKNOWN);
  }

  private void recordPossibleRun(long term) {
    mayHaveRun = true;
    if (request.kind().writes()) {
      uncertainWriteTerm = Math.max(uncertainWriteTerm, term);
    }
  }

  private Future<CallerAnswer> onReply(Destination destination, EndpointReply reply, long sentAt) {
    group.view().learn(reply.status());
    return switch (reply.result()) {
      case RAN ->
          destination.primary()
              ? onPrimaryAnswer(destination, reply, sentAt)
              : onReplicaAnswer(destination, reply);
      case WRONG_TERM, NOT_PRIMARY -> {
        group.observer().observe();
        triedEndpoints.clear();
        yield retry();
      }
      case REFUSED ->
          Future.failedFuture(new RefusedException(Refusal.REFUSED_BY_DATABASE, reply.message()));
      case NO_TRANSACTION -> refuse(Refusal.ROLLED_BACK);
    };
  }

  private Future<CallerAnswer> onReplicaAnswer(Destination destination, EndpointReply reply) {
    return switch (reply.status().log().coverageOf(destination.required())) {
      case COVERED -> Future.succeededFuture(answer(destination, reply, reply.position()));
      case BEHIND -> {
        mayHaveRun = true;
        triedEndpoints.add(destination.endpoint());
        yield retry();
      }
      case LOST -> {
        mayHaveRun = true;
        yield refuse(Refusal.LOST_WRITE);
      }
    };
  }

  private Future<CallerAnswer> onPrimaryAnswer(
      Destination destination, EndpointReply reply, long sentAt) {
    boolean writes = request.kind().writes();
    Position confirmedPosition = writes ? reply.position() : new Position(destination.term(), 0);
    long since = writes ? processor.now() : sentAt;
    recordPossibleRun(destination.term());
    return group
        .observer()
        .confirm(
            writes ? group.database().acknowledgementRule() : AcknowledgementRule.TERM,
            destination.endpoint(),
            confirmedPosition,
            since,
            request.deadline())
        .compose(
            confirmation ->
                switch (confirmation) {
                  case CONFIRMED -> onConfirmed(destination, reply);
                  case SUPERSEDED -> retry();
                  case EXPIRED -> refuse(Refusal.OUTCOME_UNKNOWN);
                });
  }

  private Future<CallerAnswer> onConfirmed(Destination destination, EndpointReply reply) {
    Coverage coverage = reply.status().log().coverageOf(destination.required());
    if (!request.kind().writes() && coverage != Coverage.COVERED) {
      return coverage == Coverage.LOST ? refuse(Refusal.LOST_WRITE) : retry();
    }
    return Future.succeededFuture(answer(destination, reply, reply.position()));
  }

  private CallerAnswer answer(Destination destination, EndpointReply reply, Position position) {
    SessionToken token = request.token().advance(database(), position);
    if (destination.primary()) {
      token =
          token.with(database(), token.viewOf(database()).afterConfirmedTerm(destination.term()));
    }
    return new CallerAnswer(
        reply.rows(), token, destination.endpoint(), !destination.primary(), reply.duplicate(), "");
  }

  private Future<CallerAnswer> retry() {
    return processor
        .awaitRetry(request)
        .compose(
            nothing -> {
              try {
                processor.checkAccess(request);
                return attempt();
              } catch (RefusedException e) {
                return Future.failedFuture(e);
              }
            });
  }

  /**
   * Converts a cause to the failure of the request: the outcome is unknown if the request may have
   * run, and the session token records the term of a write with unknown outcome.
   */
  private RequestFailure toFailure(Throwable cause) {
    RefusedException refused = RequestFailure.refusalOf(cause);
    if (mayHaveRun) {
      boolean gaveUp =
          refused.refusal() == Refusal.UNAVAILABLE || refused.refusal() == Refusal.STOPPING;
      refused =
          gaveUp ? new RefusedException(Refusal.OUTCOME_UNKNOWN) : refused.withUnknownOutcome();
    }
    SessionToken token = request.token();
    if (uncertainWriteTerm > 0) {
      token = token.with(database(), token.viewOf(database()).uncertain(uncertainWriteTerm));
    }
    return new RequestFailure(refused, token);
  }

  private String database() {
    return request.database();
  }

  private static <T> Future<T> refuse(Refusal refusal) {
    return Future.failedFuture(new RefusedException(refusal));
  }
}
