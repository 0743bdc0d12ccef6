package org.toucanmast.runtime.transaction;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
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

/**
 * Forwards transaction steps to the VMs that own the transactions, and runs steps that peers
 * forward.
 */
public final class TransactionForwarder {
  private record PendingStep(
      Promise<CallerAnswer> promise, TransactionRequest step, long deadline) {}

  private final BiPredicate<String, PeerMessage> sendToPeer;
  private final Function<TransactionRequest, Future<CallerAnswer>> runLocally;
  private final Predicate<PeerMessage> fitsLink;
  private final LongSupplier clock;
  private final Map<Long, PendingStep> pendingSteps = new HashMap<>();
  private long nextForwardId = 1;
  private int runningForPeers;

  /**
   * Creates a forwarder.
   *
   * @param sendToPeer sends a message to a peer; returns false if it could not be sent
   * @param runLocally runs a step of a transaction that this VM owns
   * @param fitsLink returns whether a message is short enough to be sent to a peer
   * @param clock the monotonic clock, in nanoseconds
   */
  public TransactionForwarder(
      BiPredicate<String, PeerMessage> sendToPeer,
      Function<TransactionRequest, Future<CallerAnswer>> runLocally,
      Predicate<PeerMessage> fitsLink,
      LongSupplier clock) {
    this.sendToPeer = sendToPeer;
    this.runLocally = runLocally;
    this.fitsLink = fitsLink;
    this.clock = clock;
  }

  /**
   * Forwards a step to the VM that owns its transaction.
   *
   * @param ownerIsLive whether the owner is live; if not, nothing is sent
   * @return the owner's answer; fails with {@link RequestFailure}
   */
  public Future<CallerAnswer> forward(TransactionRequest step, boolean ownerIsLive) {
    CallerRequest request = step.request();
    if (!ownerIsLive) {
      return fail(new RefusedException(Refusal.UNAVAILABLE), request.token());
    }
    long forwardId = nextForwardId++;
    ForwardRequest message =
        ForwardRequest.newBuilder()
            .setForwardId(forwardId)
            .setTransaction(step.handle().text())
            .setStep(step.step())
            .setCustomer(request.principal().name())
            .setKeyHash(request.principal().keyHash())
            .setRequestId(request.id())
            .setSessionToken(request.token().encode())
            .addAllStatements(request.statements())
            .setRemaining(request.deadline() - clock.getAsLong())
            .build();
    PeerMessage envelope = PeerMessage.newBuilder().setForwardRequest(message).build();
    if (!fitsLink.test(envelope)) {
      return fail(
          new RefusedException(
              Refusal.TOO_LARGE, "the step is too long to be passed on to the transaction's VM"),
          request.token());
    }
    Promise<CallerAnswer> promise = Promise.promise();
    pendingSteps.put(forwardId, new PendingStep(promise, step, request.deadline()));
    if (!sendToPeer.test(step.handle().vm(), envelope)) {
      pendingSteps.remove(forwardId);
      return fail(new RefusedException(Refusal.UNAVAILABLE), request.token());
    }
    return promise.future();
  }

  /** Runs a step that a peer forwarded, and replies to the peer. */
  public void onForwardRequest(String peer, ForwardRequest message) {
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
    runningForPeers++;
    runLocally
        .apply(new TransactionRequest(handle, message.getStep(), request))
        .onComplete(done -> runningForPeers--)
        .onComplete(
            answer -> reply(peer, message.getForwardId(), answerReply(answer)),
            cause -> reply(peer, message.getForwardId(), failureReply(cause)));
  }

  /** Returns whether every step that a peer forwarded to this VM has its reply. */
  public boolean hasRepliedToAll() {
    return runningForPeers == 0;
  }

  /** Fails a forwarded step that could not be sent. */
  public void onNotSent(ForwardRequest message) {
    PendingStep pendingStep = pendingSteps.remove(message.getForwardId());
    if (pendingStep != null) {
      SessionToken token = pendingStep.step().request().token();
      pendingStep
          .promise()
          .fail(new RequestFailure(new RefusedException(Refusal.UNAVAILABLE), token));
    }
  }

  /** Fails the steps that wait for the reply of a VM whose link has closed. */
  public void onLinkClosed(String vm) {
    failPending(pendingStep -> pendingStep.step().handle().vm().equals(vm));
  }

  /** Fails all forwarded steps that have no reply. */
  public void endAll() {
    failPending(pendingStep -> true);
  }

  /** Completes a forwarded step with the owner's reply; a reply to no pending step is ignored. */
  public void onForwardReply(ForwardReply reply) {
    PendingStep pendingStep = pendingSteps.remove(reply.getForwardId());
    if (pendingStep == null) {
      return;
    }
    SessionToken token = tokenOf(reply.getSessionToken());
    if (reply.getRefusal().isEmpty()) {
      pendingStep
          .promise()
          .complete(
              new CallerAnswer(
                  reply.getRowsList(),
                  token,
                  reply.getEndpoint(),
                  false,
                  reply.getDuplicate(),
                  pendingStep.step().handle().text()));
      return;
    }
    RefusedException refused =
        new RefusedException(Refusal.valueOf(reply.getRefusal()), reply.getMessage());
    pendingStep
        .promise()
        .fail(
            new RequestFailure(
                reply.getOutcomeUnknown() ? refused.withUnknownOutcome() : refused, token));
  }

  /** Fails forwarded steps whose deadline passed without a reply; their outcome is unknown. */
  public void tick(long now) {
    failPending(pendingStep -> now - pendingStep.deadline() >= 0);
  }

  /** Fails the steps that meet a condition; their outcome is unknown. */
  private void failPending(Predicate<PendingStep> condition) {
    List<PendingStep> failed = pendingSteps.values().stream().filter(condition).toList();
    pendingSteps.values().removeAll(failed);
    for (PendingStep pendingStep : failed) {
      pendingStep
          .promise()
          .fail(
              TransactionManager.commitOutcomeUnknown(
                  pendingStep.step().handle(), pendingStep.step().request().token()));
    }
  }

  private void reply(String peer, long forwardId, ForwardReply.Builder reply) {
    PeerMessage message = replyMessage(forwardId, reply);
    if (!fitsLink.test(message)) {
      RefusedException refused =
          new RefusedException(
              Refusal.OUTCOME_UNKNOWN,
              "the answer is too long to be passed on by the transaction's VM");
      SessionToken token = tokenOf(reply.getSessionToken());
      message = replyMessage(forwardId, failureReply(new RequestFailure(refused, token)));
    }
    sendToPeer.test(peer, message);
  }

  private static PeerMessage replyMessage(long forwardId, ForwardReply.Builder reply) {
    return PeerMessage.newBuilder().setForwardReply(reply.setForwardId(forwardId)).build();
  }

  private static ForwardReply.Builder answerReply(CallerAnswer answer) {
    return ForwardReply.newBuilder()
        .addAllRows(answer.rows())
        .setSessionToken(answer.token().encode())
        .setEndpoint(answer.endpoint())
        .setDuplicate(answer.duplicate());
  }

  private static ForwardReply.Builder failureReply(Throwable cause) {
    RequestFailure failure =
        cause instanceof RequestFailure known
            ? known
            : new RequestFailure(
                new RefusedException(Refusal.UNAVAILABLE).withUnknownOutcome(),
                SessionToken.empty());
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
