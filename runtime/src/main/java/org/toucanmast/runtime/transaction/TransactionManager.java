package org.toucanmast.runtime.transaction;

import io.vertx.core.Future;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.group.LogSummary.Coverage;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.core.request.RequestKind;
import org.toucanmast.core.routing.Destination;
import org.toucanmast.core.session.SessionToken;
import org.toucanmast.core.session.SessionView;
import org.toucanmast.core.stop.RequestStep;
import org.toucanmast.runtime.endpoint.EndpointCall;
import org.toucanmast.runtime.endpoint.EndpointCall.Operation;
import org.toucanmast.runtime.endpoint.EndpointConnection;
import org.toucanmast.runtime.endpoint.EndpointException;
import org.toucanmast.runtime.endpoint.EndpointReply;
import org.toucanmast.runtime.endpoint.EndpointReply.Result;
import org.toucanmast.runtime.group.ConfirmationResult;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.runtime.request.AccessControl;
import org.toucanmast.runtime.request.CallerAnswer;
import org.toucanmast.runtime.request.CallerRequest;
import org.toucanmast.runtime.request.RequestFailure;
import org.toucanmast.runtime.request.RequestProcessor;
import org.toucanmast.schema.TransactionStep;

/**
 * Manages the transactions that this VM owns, each on an endpoint connection reserved for it.
 *
 * <p>A connection is returned to its pool only after the endpoint reported the transaction as
 * committed or rolled back. In every other case the connection is closed, and the endpoint rolls
 * back.
 */
public final class TransactionManager {
  private static final Logger log = System.getLogger(TransactionManager.class.getName());

  private static final String KEY_MOVED =
      Refusal.KEY_MOVED.message() + ", and the transaction was rolled back";

  private static final String ROLLED_BACK_BY_STOP =
      "the VM of the transaction is stopping and rolled it back";

  private final String self;
  private final RequestProcessor processor;
  private final long idleTimeoutInNanoseconds;
  private final Map<String, OpenTransaction> openTransactions = new HashMap<>();

  /**
   * Creates a manager.
   *
   * @param self the name of this VM
   * @param idleTimeoutInNanoseconds the idle time after which a transaction is rolled back
   */
  public TransactionManager(
      String self, RequestProcessor processor, long idleTimeoutInNanoseconds) {
    this.self = self;
    this.processor = processor;
    this.idleTimeoutInNanoseconds = idleTimeoutInNanoseconds;
  }

  /** Returns the number of open transactions. */
  public int size() {
    return openTransactions.size();
  }

  /**
   * Begins a transaction at the primary of the request's database.
   *
   * @return the answer with the handle of the transaction; fails with {@link RequestFailure}
   */
  public Future<CallerAnswer> begin(CallerRequest request) {
    return processor
        .admit(request)
        .compose(group -> beginAt(group, request))
        .recover(cause -> fail(cause, request.token()));
  }

  private Future<CallerAnswer> beginAt(DatabaseGroup group, CallerRequest request) {
    return processor
        .awaitPrimary(group, request)
        .compose(
            destination ->
                group.heldTerm(processor.now()).isPresent()
                    ? processor.awaitRetry(request).compose(nothing -> beginAt(group, request))
                    : beginAt(group, destination, request));
  }

  private Future<CallerAnswer> beginAt(
      DatabaseGroup group, Destination destination, CallerRequest request) {
    group.onTransactionBegun();
    return processor
        .connect(group, destination, request)
        .compose(connection -> begin(group, destination, connection, request))
        .recover(cause -> recoverFailedBegin(group, destination, cause))
        .onFailure(cause -> group.onTransactionEnded(processor.now()))
        .compose(
            answer -> {
              if (answer.isPresent()) {
                return Future.succeededFuture(answer.get());
              }
              group.onTransactionEnded(processor.now());
              return retryBegin(group, request);
            });
  }

  /**
   * Returns empty after an endpoint failure, so that the begin is retried. An endpoint that was not
   * reached or did not answer keeps no transaction.
   */
  private static Future<Optional<CallerAnswer>> recoverFailedBegin(
      DatabaseGroup group, Destination destination, Throwable cause) {
    if (!(cause instanceof EndpointException)) {
      return Future.failedFuture(cause);
    }
    log.log(
        Level.DEBUG,
        "{0}: could not begin a transaction at {1}: {2}",
        group.database().name(),
        destination.endpoint(),
        cause.getMessage());
    group.view().forget(destination.endpoint());
    return Future.succeededFuture(Optional.empty());
  }

  /**
   * Returns the answer, or empty if the endpoint cannot begin the transaction and it is retried.
   */
  private Future<Optional<CallerAnswer>> begin(
      DatabaseGroup group,
      Destination destination,
      EndpointConnection connection,
      CallerRequest request) {
    return connection
        .call(
            call(Operation.BEGIN, request, destination),
            processor.callTimeoutInMilliseconds(request))
        .onFailure(cause -> processor.release(group, connection))
        .compose(
            reply -> {
              group.view().learn(reply.status());
              Coverage coverage = reply.status().log().coverageOf(destination.required());
              if (reply.result() == Result.RAN && coverage == Coverage.COVERED) {
                return Future.succeededFuture(
                    Optional.of(register(group, destination, connection, request)));
              }
              connection.close();
              processor.release(group, connection);
              return coverage == Coverage.LOST
                  ? refuse(Refusal.LOST_WRITE)
                  : Future.succeededFuture(Optional.empty());
            });
  }

  private Future<CallerAnswer> retryBegin(DatabaseGroup group, CallerRequest request) {
    group.observer().observe();
    return processor.awaitRetry(request).compose(nothing -> beginAt(group, request));
  }

  private CallerAnswer register(
      DatabaseGroup group,
      Destination destination,
      EndpointConnection connection,
      CallerRequest request) {
    TransactionHandle handle =
        TransactionHandle.create(self, group.database().name(), destination.term());
    openTransactions.put(
        handle.id(),
        new OpenTransaction(
            handle, request.principal(), group, destination, connection, processor.now()));
    return new CallerAnswer(
        List.of(), request.token(), destination.endpoint(), false, false, handle.text());
  }

  /**
   * Runs a step of a transaction that this VM owns.
   *
   * @param now the time of day, for opening hours
   * @return the answer; fails with {@link RequestFailure}
   */
  public Future<CallerAnswer> step(
      TransactionRequest step, AccessControl accessControl, Instant now) {
    CallerRequest request = step.request();
    OpenTransaction transaction = openTransactions.get(step.handle().id());
    if (transaction == null || !transaction.isKnownTo(request.principal())) {
      return fail(new RefusedException(Refusal.NOT_FOUND), request.token());
    }
    if (transaction.isStepRunning()) {
      return fail(new RefusedException(Refusal.TRANSACTION_BUSY), request.token());
    }
    try {
      transaction.checkHolder(request.principal());
      accessControl.check(request.principal(), transaction.group().database().name(), now);
    } catch (RefusedException e) {
      rollBack(transaction);
      return fail(ofStep(e), request.token());
    }
    Optional<Refusal> refusal = stepOf(step).refusalIn(processor.stopPhase());
    if (refusal.isPresent()) {
      rollBack(transaction);
      return fail(new RefusedException(refusal.get(), ROLLED_BACK_BY_STOP), request.token());
    }
    transaction.startStep(processor.now());
    return run(transaction, step).onComplete(done -> transaction.finishStep(processor.now()));
  }

  /** Returns the refusal of a step whose transaction is rolled back, since its key has moved. */
  private static RefusedException ofStep(RefusedException refused) {
    return refused.refusal() == Refusal.KEY_MOVED
        ? new RefusedException(Refusal.ROLLED_BACK, KEY_MOVED)
        : refused;
  }

  private static RequestStep stepOf(TransactionRequest step) {
    return switch (step.step()) {
      case COMMIT -> RequestStep.COMMIT;
      case ROLLBACK -> RequestStep.ROLLBACK;
      default -> RequestStep.STATEMENTS;
    };
  }

  private Future<CallerAnswer> run(OpenTransaction transaction, TransactionRequest step) {
    CallerRequest request = step.request();
    Future<Void> admitted =
        step.step() == TransactionStep.CONTINUE
            ? admit(transaction, withDatabase(request, transaction))
            : Future.succeededFuture();
    return admitted
        .compose(nothing -> call(transaction, step))
        .recover(cause -> fail(cause, request.token()));
  }

  private Future<Void> admit(OpenTransaction transaction, CallerRequest request) {
    return processor
        .admit(request)
        .<Void>mapEmpty()
        .recover(
            cause -> {
              if (cause instanceof RefusedException refused
                  && refused.refusal() == Refusal.KEY_MOVED) {
                rollBack(transaction);
                return Future.failedFuture(ofStep(refused));
              }
              return Future.failedFuture(cause);
            });
  }

  private static CallerRequest withDatabase(CallerRequest request, OpenTransaction transaction) {
    return new CallerRequest(
        request.id(),
        request.principal(),
        transaction.group().database().name(),
        request.kind(),
        request.freshness(),
        request.token(),
        request.statements(),
        request.arrivedAt(),
        request.deadline());
  }

  private Future<CallerAnswer> call(OpenTransaction transaction, TransactionRequest step) {
    Operation operation = Operation.valueOf(step.step().name());
    return transaction
        .connection()
        .call(
            call(operation, step.request(), transaction.destination()),
            processor.callTimeoutInMilliseconds(step.request()))
        .compose(
            reply -> onReply(transaction, operation, reply, step.request()),
            cause -> onNoReply(transaction, operation, step.request()));
  }

  private Future<CallerAnswer> onNoReply(
      OpenTransaction transaction, Operation operation, CallerRequest request) {
    rollBack(transaction);
    if (operation != Operation.COMMIT) {
      return refuse(Refusal.ROLLED_BACK);
    }
    return Future.failedFuture(outcomeUnknown(transaction, request));
  }

  private Future<CallerAnswer> onReply(
      OpenTransaction transaction,
      Operation operation,
      EndpointReply reply,
      CallerRequest request) {
    transaction.group().view().learn(reply.status());
    if (reply.result() == Result.REFUSED && operation == Operation.CONTINUE) {
      return Future.failedFuture(
          new RefusedException(Refusal.REFUSED_BY_DATABASE, reply.message()));
    }
    if (reply.result() != Result.RAN) {
      rollBack(transaction);
      return refuse(Refusal.ROLLED_BACK);
    }
    return switch (operation) {
      case COMMIT -> {
        release(transaction);
        yield confirm(transaction, reply, request)
            .onComplete(confirmed -> countAsEnded(transaction));
      }
      case ROLLBACK -> {
        release(transaction);
        countAsEnded(transaction);
        yield Future.succeededFuture(answer(transaction, reply, request.token()));
      }
      default -> Future.succeededFuture(answer(transaction, reply, request.token()));
    };
  }

  private Future<CallerAnswer> confirm(
      OpenTransaction transaction, EndpointReply reply, CallerRequest request) {
    DatabaseGroup group = transaction.group();
    return group
        .observer()
        .confirm(
            group.database().acknowledgementRule(),
            transaction.destination().endpoint(),
            reply.position(),
            processor.now(),
            request.deadline())
        .compose(
            confirmation ->
                confirmation == ConfirmationResult.CONFIRMED
                    ? Future.succeededFuture(
                        answer(
                            transaction,
                            reply,
                            request.token().advance(group.database().name(), reply.position())))
                    : Future.failedFuture(outcomeUnknown(transaction, request)));
  }

  private static CallerAnswer answer(
      OpenTransaction transaction, EndpointReply reply, SessionToken token) {
    return new CallerAnswer(
        reply.rows(),
        token,
        transaction.destination().endpoint(),
        false,
        reply.duplicate(),
        transaction.handle().text());
  }

  private static RequestFailure outcomeUnknown(OpenTransaction transaction, CallerRequest request) {
    return commitOutcomeUnknown(transaction.handle(), request.token());
  }

  /**
   * Returns the failure of a commit that may have run. Its session token keeps the session's reads
   * at the primary.
   */
  static RequestFailure commitOutcomeUnknown(TransactionHandle handle, SessionToken token) {
    SessionView view = token.viewOf(handle.database()).uncertain(handle.term());
    return new RequestFailure(
        new RefusedException(Refusal.OUTCOME_UNKNOWN), token.with(handle.database(), view));
  }

  private void release(OpenTransaction transaction) {
    openTransactions.remove(transaction.handle().id());
    processor.release(transaction.group(), transaction.connection());
  }

  /**
   * Counts the transaction as ended. A commit counts as open until it is confirmed, because a move
   * of the primary before that would leave its outcome unknown.
   */
  private void countAsEnded(OpenTransaction transaction) {
    transaction.group().onTransactionEnded(processor.now());
  }

  /** Closes the connection, which makes the endpoint roll back. */
  private void rollBack(OpenTransaction transaction) {
    transaction.connection().close();
    release(transaction);
    countAsEnded(transaction);
  }

  /**
   * Rolls back transactions that were idle for the timeout or whose connection is broken, except
   * those that run a step.
   */
  public void tick(long now) {
    List.copyOf(openTransactions.values()).stream()
        .filter(
            each -> each.isIdleFor(idleTimeoutInNanoseconds, now) || each.connection().isBroken())
        .filter(each -> !each.isStepRunning())
        .forEach(this::rollBack);
  }

  private static EndpointCall call(
      Operation operation, CallerRequest request, Destination destination) {
    return new EndpointCall(
        operation,
        request.principal().name(),
        request.id(),
        RequestKind.WRITE,
        destination.term(),
        true,
        request.statements());
  }

  private static <T> Future<T> refuse(Refusal refusal) {
    return Future.failedFuture(new RefusedException(refusal));
  }

  private static <T> Future<T> fail(Throwable cause, SessionToken token) {
    return Future.failedFuture(RequestFailure.of(cause, token));
  }
}
