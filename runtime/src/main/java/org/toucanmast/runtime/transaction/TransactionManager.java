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
 * The transactions that this VM owns, each on a connection that serves nothing else meanwhile.
 *
 * <p>A connection goes back to its pool only after its transaction was committed or rolled back and
 * the endpoint said so; in every other case it is closed, and the endpoint rolls back.
 */
public final class TransactionManager {
  private static final Logger log = System.getLogger(TransactionManager.class.getName());

  private final String self;
  private final RequestProcessor processor;
  private final long idleTimeout;
  private final Map<String, OpenTransaction> open = new HashMap<>();

  /**
   * Creates the duty.
   *
   * @param idleTimeout after which an unused transaction is rolled back, in nanoseconds
   */
  public TransactionManager(String self, RequestProcessor processor, long idleTimeout) {
    this.self = self;
    this.processor = processor;
    this.idleTimeout = idleTimeout;
  }

  /** Returns how many transactions are open. */
  public int size() {
    return open.size();
  }

  /** Begins a transaction at the primary of the request's database. */
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
        .recover(cause -> nothingBegan(group, destination, cause))
        .onFailure(cause -> group.onTransactionEnded(processor.now()))
        .compose(
            begun -> {
              if (begun.isPresent()) {
                return Future.succeededFuture(begun.get());
              }
              group.onTransactionEnded(processor.now());
              return beginAgain(group, request);
            });
  }

  /** An endpoint that was not reached, or did not answer, has begun nothing that is kept. */
  private static Future<Optional<CallerAnswer>> nothingBegan(
      DatabaseGroup group, Destination destination, Throwable cause) {
    if (!(cause instanceof EndpointException)) {
      return Future.failedFuture(cause);
    }
    log.log(
        Level.DEBUG,
        "{0}: no transaction begun at {1}: {2}",
        group.database().name(),
        destination.endpoint(),
        cause.getMessage());
    group.view().forget(destination.endpoint());
    return Future.succeededFuture(Optional.empty());
  }

  /** Returns the answer, or empty when the endpoint cannot run it and another attempt is due. */
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

  private Future<CallerAnswer> beginAgain(DatabaseGroup group, CallerRequest request) {
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
    open.put(
        handle.id(),
        new OpenTransaction(
            handle, request.principal(), group, destination, connection, processor.now()));
    return new CallerAnswer(
        List.of(), request.token(), destination.endpoint(), false, false, handle.text());
  }

  /** Runs a step of a transaction that this VM owns. */
  public Future<CallerAnswer> step(TransactionRequest step, AccessControl access, Instant now) {
    CallerRequest request = step.request();
    OpenTransaction transaction = open.get(step.handle().id());
    boolean known =
        transaction != null && transaction.principal().name().equals(request.principal().name());
    if (!known) {
      return fail(new RefusedException(Refusal.NOT_FOUND), request.token());
    }
    if (transaction.isBusy()) {
      return fail(new RefusedException(Refusal.TRANSACTION_BUSY), request.token());
    }
    try {
      access.check(request.principal(), transaction.group().database().name(), now);
    } catch (RefusedException e) {
      rollBack(transaction);
      return fail(e, request.token());
    }
    transaction.begin(processor.now());
    return run(transaction, step).onComplete(done -> transaction.end(processor.now()));
  }

  private Future<CallerAnswer> run(OpenTransaction transaction, TransactionRequest step) {
    CallerRequest request = step.request();
    Future<Void> admitted =
        step.step() == TransactionStep.CONTINUE
            ? processor.admit(withDatabase(request, transaction)).mapEmpty()
            : Future.succeededFuture();
    return admitted
        .compose(nothing -> call(transaction, step))
        .recover(cause -> fail(cause, request.token()));
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
    return Future.failedFuture(unknown(transaction, request));
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
        yield confirm(transaction, reply, request).onComplete(confirmed -> countEnd(transaction));
      }
      case ROLLBACK -> {
        release(transaction);
        countEnd(transaction);
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
            group.database().rule(),
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
                    : Future.failedFuture(unknown(transaction, request)));
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

  private static RequestFailure unknown(OpenTransaction transaction, CallerRequest request) {
    return unknownCommit(transaction.handle(), request.token());
  }

  /** Returns the failure of a commit that may have run; reads of its session stay at primaries. */
  static RequestFailure unknownCommit(TransactionHandle handle, SessionToken token) {
    SessionView view = token.viewOf(handle.database()).uncertain(handle.term());
    return new RequestFailure(
        new RefusedException(Refusal.OUTCOME_UNKNOWN), token.with(handle.database(), view));
  }

  private void release(OpenTransaction transaction) {
    open.remove(transaction.handle().id());
    processor.release(transaction.group(), transaction.connection());
  }

  /** A commit counts as open until it is confirmed: a move before that leaves it in doubt. */
  private void countEnd(OpenTransaction transaction) {
    transaction.group().onTransactionEnded(processor.now());
  }

  /** Closes the connection, whereupon the endpoint rolls back. */
  private void rollBack(OpenTransaction transaction) {
    transaction.connection().close();
    release(transaction);
    countEnd(transaction);
  }

  /** Rolls back transactions that nobody used for long. */
  public void tick(long now) {
    List.copyOf(open.values()).stream()
        .filter(each -> each.isIdleFor(idleTimeout, now) || each.connection().isBroken())
        .filter(each -> !each.isBusy())
        .forEach(this::rollBack);
  }

  private static EndpointCall call(
      Operation operation, CallerRequest request, Destination destination) {
    return new EndpointCall(
        operation, request.id(), RequestKind.WRITE, destination.term(), true, request.statements());
  }

  private static <T> Future<T> refuse(Refusal refusal) {
    return Future.failedFuture(new RefusedException(refusal));
  }

  private static <T> Future<T> fail(Throwable cause, SessionToken token) {
    return Future.failedFuture(RequestFailure.of(cause, token));
  }
}
