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
 * The attempts to run one admitted request.
 *
 * <p>A non-idempotent request is sent again only after an endpoint said that it did not run it.
 */
final class RequestAttempts {
  private final RequestPath path;
  private final DatabaseGroup group;
  private final CallerRequest request;
  private final Set<String> tried = new HashSet<>();
  private boolean mayHaveRun;
  private boolean refreshed;
  private long uncertainTerm;

  RequestAttempts(RequestPath path, DatabaseGroup group, CallerRequest request) {
    this.path = path;
    this.group = group;
    this.request = request;
  }

  Future<CallerAnswer> run() {
    group.retryBudget().earn();
    return attempt().recover(cause -> Future.failedFuture(truthful(cause)));
  }

  private Future<CallerAnswer> attempt() {
    if (hasSeenLostWrite()) {
      return refuse(Refusal.LOST_WRITE);
    }
    Optional<Destination> destination = choose();
    if (destination.isEmpty()) {
      return again();
    }
    if (wantsFresherView(destination.get())) {
      refreshed = true;
      return group.observer().refresh().compose(nothing -> attempt());
    }
    return path.connect(group, destination.get(), request)
        .compose(
            connection -> send(destination.get(), connection),
            cause -> onNotConnected(destination.get(), cause));
  }

  /**
   * Tells whether a read should learn of the replicas' positions before it goes to the primary: one
   * round costs no more than the confirmation that a primary's answer waits for.
   */
  private boolean wantsFresherView(Destination destination) {
    boolean replicaMayServe = request.token().knows(database()) || request.freshness().acceptsAge();
    return request.kind() == RequestKind.READ
        && destination.primary()
        && replicaMayServe
        && !request.token().viewOf(database()).isUncertain()
        && !refreshed;
  }

  private Optional<Destination> choose() {
    if (request.kind() != RequestKind.READ) {
      return group.router().forPrimary(group.view(), request.token());
    }
    return group
        .router()
        .forRead(
            group.view(), request.token(), request.freshness(), path.now(), tried, group::loadOf);
  }

  private boolean hasSeenLostWrite() {
    SessionView seen = request.token().viewOf(database());
    return group
        .view()
        .primary()
        .flatMap(primary -> group.view().statusOf(primary))
        .filter(status -> status.term() == group.view().term())
        .filter(status -> seen.coverageIn(status.log()) == Coverage.LOST)
        .isPresent();
  }

  private Future<CallerAnswer> onNotConnected(Destination destination, Throwable cause) {
    if (cause instanceof RefusedException) {
      return Future.failedFuture(cause);
    }
    tried.add(destination.endpoint());
    group.view().forget(destination.endpoint());
    return again();
  }

  private Future<CallerAnswer> send(Destination destination, EndpointConnection connection) {
    long sentAt = path.now();
    EndpointCall call =
        new EndpointCall(
            Operation.RUN,
            request.id(),
            request.kind(),
            destination.term(),
            destination.primary(),
            request.statements());
    return connection
        .call(call, path.timeoutFor(request))
        .onComplete(done -> path.release(group, connection))
        .compose(
            reply -> onReply(destination, reply, sentAt), cause -> onNoReply(destination, cause));
  }

  private Future<CallerAnswer> onNoReply(Destination destination, Throwable cause) {
    boolean sent =
        !(cause instanceof EndpointException error)
            || error.kind() == EndpointException.Kind.NO_ANSWER;
    tried.add(destination.endpoint());
    group.view().forget(destination.endpoint());
    if (!sent) {
      return again();
    }
    noteMayHaveRun(destination.term());
    boolean repeats = request.kind().isRepeatable() && group.retryBudget().trySpend();
    return repeats ? again() : refuse(Refusal.OUTCOME_UNKNOWN);
  }

  private void noteMayHaveRun(long term) {
    mayHaveRun = true;
    if (request.kind().writes()) {
      uncertainTerm = Math.max(uncertainTerm, term);
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
        tried.clear();
        yield again();
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
        tried.add(destination.endpoint());
        yield again();
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
    Position confirmed = writes ? reply.position() : new Position(destination.term(), 0);
    long since = writes ? path.now() : sentAt;
    noteMayHaveRun(destination.term());
    return group
        .observer()
        .confirm(
            writes ? group.database().rule() : AcknowledgementRule.TERM,
            destination.endpoint(),
            confirmed,
            since,
            request.deadline())
        .compose(
            confirmation ->
                switch (confirmation) {
                  case CONFIRMED -> onConfirmed(destination, reply);
                  case SUPERSEDED -> again();
                  case EXPIRED -> refuse(Refusal.OUTCOME_UNKNOWN);
                });
  }

  private Future<CallerAnswer> onConfirmed(Destination destination, EndpointReply reply) {
    Coverage coverage = reply.status().log().coverageOf(destination.required());
    if (!request.kind().writes() && coverage != Coverage.COVERED) {
      return coverage == Coverage.LOST ? refuse(Refusal.LOST_WRITE) : again();
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

  private Future<CallerAnswer> again() {
    return path.pause(request)
        .compose(
            nothing -> {
              try {
                path.checkAccess(request);
                return attempt();
              } catch (RefusedException e) {
                return Future.failedFuture(e);
              }
            });
  }

  /** Says "unknown" of anything that may have run, and marks the session's token. */
  private RequestFailure truthful(Throwable cause) {
    RefusedException refused = RequestFailure.refusalOf(cause);
    if (mayHaveRun) {
      refused =
          refused.refusal() == Refusal.UNAVAILABLE
              ? new RefusedException(Refusal.OUTCOME_UNKNOWN)
              : refused.ofUnknownOutcome();
    }
    SessionToken token = request.token();
    if (uncertainTerm > 0) {
      token = token.with(database(), token.viewOf(database()).uncertain(uncertainTerm));
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
