package org.toucanmast.runtime.transaction;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.core.request.RequestKind;
import org.toucanmast.core.routing.ReadFreshness;
import org.toucanmast.core.session.InvalidSessionTokenException;
import org.toucanmast.core.session.SessionToken;
import org.toucanmast.runtime.request.CallerAnswer;
import org.toucanmast.runtime.request.CallerRequest;
import org.toucanmast.runtime.request.Principal;
import org.toucanmast.runtime.request.RequestFailure;
import org.toucanmast.schema.ForwardReply;
import org.toucanmast.schema.ForwardRequest;
import org.toucanmast.schema.PeerMessage;

/** Passes steps of transactions on to the VM that owns them, and answers such steps of peers. */
public final class TransactionForwarder {
  private record Pending(Promise<CallerAnswer> promise, TransactionRequest step, long deadline) {}

  private final BiPredicate<String, PeerMessage> sender;
  private final Function<TransactionRequest, Future<CallerAnswer>> local;
  private final LongSupplier clock;
  private final Map<Long, Pending> pending = new HashMap<>();
  private long nextId = 1;

  /**
   * Creates the duty.
   *
   * @param sender sends a message to a peer; false when it cannot
   * @param local runs a step of a transaction that this VM owns
   */
  public TransactionForwarder(
      BiPredicate<String, PeerMessage> sender,
      Function<TransactionRequest, Future<CallerAnswer>> local,
      LongSupplier clock) {
    this.sender = sender;
    this.local = local;
    this.clock = clock;
  }

  /**
   * Sends a step to its owner.
   *
   * @param ownerIsLive whether the owner was heard of lately; if not, nothing is sent
   */
  public Future<CallerAnswer> forward(TransactionRequest step, boolean ownerIsLive) {
    CallerRequest request = step.request();
    if (!ownerIsLive) {
      return fail(new RefusedException(Refusal.UNAVAILABLE), request.token());
    }
    long id = nextId++;
    ForwardRequest message =
        ForwardRequest.newBuilder()
            .setForwardId(id)
            .setTransaction(step.handle().text())
            .setStep(step.step())
            .setCustomer(request.principal().name())
            .setKeyHash(request.principal().keyHash())
            .setRequestId(request.id())
            .setSessionToken(request.token().encode())
            .addAllStatements(request.statements())
            .setRemaining(request.deadline() - clock.getAsLong())
            .build();
    Promise<CallerAnswer> promise = Promise.promise();
    pending.put(id, new Pending(promise, step, request.deadline()));
    PeerMessage envelope = PeerMessage.newBuilder().setForwardRequest(message).build();
    if (!sender.test(step.handle().vm(), envelope)) {
      pending.remove(id);
      return fail(new RefusedException(Refusal.UNAVAILABLE), request.token());
    }
    return promise.future();
  }

  /** Runs a step that a peer passed on, and answers it. */
  public void onRequest(String peer, ForwardRequest message) {
    long now = clock.getAsLong();
    TransactionHandle handle =
        TransactionHandle.parse(message.getTransaction())
            .orElse(new TransactionHandle("", "", 0, ""));
    CallerRequest request =
        new CallerRequest(
            message.getRequestId(),
            new Principal(message.getCustomer(), message.getKeyHash()),
            "",
            RequestKind.WRITE,
            ReadFreshness.OF_SESSION,
            tokenOf(message.getSessionToken()),
            message.getStatementsList(),
            now,
            now + message.getRemaining());
    local
        .apply(new TransactionRequest(handle, message.getStep(), request))
        .onComplete(
            answer -> reply(peer, message.getForwardId(), answerOf(answer)),
            cause -> reply(peer, message.getForwardId(), failureOf(cause)));
  }

  /** Takes in a peer's answer; one that nobody waits for is dropped. */
  public void onReply(ForwardReply reply) {
    Pending waiting = pending.remove(reply.getForwardId());
    if (waiting == null) {
      return;
    }
    SessionToken token = tokenOf(reply.getSessionToken());
    if (reply.getRefusal().isEmpty()) {
      waiting
          .promise()
          .complete(
              new CallerAnswer(
                  reply.getRowsList(),
                  token,
                  reply.getEndpoint(),
                  false,
                  reply.getDuplicate(),
                  waiting.step().handle().text()));
      return;
    }
    RefusedException refused =
        new RefusedException(Refusal.valueOf(reply.getRefusal()), reply.getMessage());
    waiting
        .promise()
        .fail(
            new RequestFailure(
                reply.getOutcomeUnknown() ? refused.ofUnknownOutcome() : refused, token));
  }

  /** Ends steps whose answer did not come: nobody knows whether they ran. */
  public void tick(long now) {
    Iterator<Pending> iterator = pending.values().iterator();
    while (iterator.hasNext()) {
      Pending waiting = iterator.next();
      if (now - waiting.deadline() >= 0) {
        iterator.remove();
        waiting
            .promise()
            .fail(
                TransactionManager.unknownCommit(
                    waiting.step().handle(), waiting.step().request().token()));
      }
    }
  }

  private void reply(String peer, long id, ForwardReply.Builder reply) {
    sender.test(peer, PeerMessage.newBuilder().setForwardReply(reply.setForwardId(id)).build());
  }

  private static ForwardReply.Builder answerOf(CallerAnswer answer) {
    return ForwardReply.newBuilder()
        .addAllRows(answer.rows())
        .setSessionToken(answer.token().encode())
        .setEndpoint(answer.endpoint())
        .setDuplicate(answer.duplicate());
  }

  private static ForwardReply.Builder failureOf(Throwable cause) {
    RequestFailure failure =
        cause instanceof RequestFailure known
            ? known
            : new RequestFailure(
                new RefusedException(Refusal.UNAVAILABLE).ofUnknownOutcome(), SessionToken.empty());
    RefusedException refused = failure.refused();
    return ForwardReply.newBuilder()
        .setRefusal(refused.refusal().name())
        .setMessage(refused.getMessage())
        .setOutcomeUnknown(refused.outcome() != refused.refusal().outcome())
        .setSessionToken(failure.token().encode());
  }

  private static SessionToken tokenOf(String text) {
    try {
      return SessionToken.decode(text);
    } catch (InvalidSessionTokenException e) {
      return SessionToken.empty();
    }
  }

  private static <T> Future<T> fail(RefusedException refused, SessionToken token) {
    return Future.failedFuture(new RequestFailure(refused, token));
  }
}
