package org.toucanmast.runtime.session;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.toucanmast.core.catalog.Customer;
import org.toucanmast.core.catalog.Route;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.Access;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.Statement;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.core.statement.TransactionState;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.port.CallerDialect;
import org.toucanmast.runtime.port.CallerMessage;
import org.toucanmast.runtime.port.DialectException;

/**
 * One caller's session: its values, its prepared names, its transaction, and the newest position
 * that its own commits reached. Statements run one after the other.
 */
final class CallerSession {
  /** Statements that a caller may send ahead of the answers. */
  private static final int MOST_AHEAD = 64;

  /** The name that endpoints are told when a route is open to all and the caller has no key. */
  private static final Customer NOBODY = new Customer("-", new Allowance(1e9, 1e9));

  private final SessionContext context;
  private final NetSocket socket;
  private final SessionWriter writer;
  private final CallerDialect.Decoder decoder;
  private final Runnable onEnd;
  private final Deque<CallerMessage> waiting = new ArrayDeque<>();
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();
  private String database;
  private String key = "";
  private boolean busy;
  private boolean ended;
  private Position seen = Position.NONE;
  private SessionTransaction transaction;

  CallerSession(SessionContext context, NetSocket socket, Runnable onEnd) {
    this.context = context;
    this.socket = socket;
    this.writer = new SessionWriter(context, socket);
    this.decoder = context.dialect().decoder();
    this.onEnd = onEnd;
    socket.handler(this::onBytes);
    socket.closeHandler(closed -> end());
    socket.exceptionHandler(error -> end());
  }

  private void onBytes(Buffer bytes) {
    try {
      waiting.addAll(decoder.feed(bytes));
      if (waiting.size() > MOST_AHEAD) {
        throw new DialectException("more than " + MOST_AHEAD + " statements ahead");
      }
      work();
    } catch (DialectException e) {
      context.log().log(EventKind.PROTOCOL, "caller closed", "reason", e.getMessage());
      closeWith(context.dialect().refusal(e.code(), e.getMessage()));
    }
  }

  /** Handles what waits, one statement after the other. */
  void work() {
    while (context.isSettled() && !busy && !ended && !waiting.isEmpty()) {
      CallerMessage message = waiting.removeFirst();
      if (message instanceof CallerMessage.Open open) {
        open(open);
      } else if (message instanceof CallerMessage.Close) {
        socket.close();
        end();
      } else if (message instanceof CallerMessage.Query query) {
        query(query);
      }
    }
    closeWhenStopping();
  }

  private void open(CallerMessage.Open open) {
    if (database != null) {
      closeWith(context.dialect().refusal(ResultCode.MALFORMED, "the session is open already"));
      return;
    }
    Optional<Route> route = context.catalog().route(open.database());
    if (route.isEmpty()) {
      refuseToOpen(ResultCode.NO_DATABASE, "no such database");
    } else if (!route.get().openToAll() && context.catalog().customer(open.key()).isEmpty()) {
      refuseToOpen(ResultCode.NO_CUSTOMER, "unknown key");
    } else {
      database = open.database();
      key = open.key();
      writer.write(context.dialect().ready(TransactionState.NONE, Position.NONE));
    }
  }

  private void refuseToOpen(ResultCode code, String reason) {
    context.log().log(
        EventKind.REQUEST_FAILED,
        "session refused",
        "code",
        code,
        "configuration",
        context.catalog().version());
    closeWith(context.dialect().refusal(code, reason));
  }

  private void query(CallerMessage.Query query) {
    if (database == null) {
      closeWith(context.dialect().refusal(ResultCode.MALFORMED, "the session is not open"));
      return;
    }
    Statement statement = query.statement();
    boolean ends = statement instanceof Statement.Commit || statement instanceof Statement.Rollback;
    if (state() == TransactionState.FAILED && !ends) {
      fail(query.requestId(), ResultCode.MALFORMED, "the transaction failed and must be ended");
    } else if (statement instanceof Statement.Begin begin) {
      begin(query.requestId(), begin);
    } else if (statement instanceof Statement.Commit commit) {
      commit(query.requestId(), commit);
    } else if (statement instanceof Statement.Rollback) {
      rollBack(query.requestId());
    } else if (statement instanceof Statement.Run run) {
      run(query.requestId(), run.access(), run.text(), Optional.empty());
    } else if (statement instanceof Statement.Execute execute) {
      execute(query.requestId(), execute);
    } else {
      manage(query.requestId(), statement);
    }
  }

  private void manage(String requestId, Statement statement) {
    if (statement instanceof Statement.SetValue value) {
      values.put(value.name(), value.value());
      acknowledge();
    } else if (statement instanceof Statement.Prepare prepare) {
      prepared.put(prepare.name(), prepare.shape());
      acknowledge();
    } else if (statement instanceof Statement.Deallocate deallocate) {
      if (prepared.remove(deallocate.name()) == null) {
        fail(requestId, ResultCode.NO_STATEMENT, "no prepared statement of that name");
      } else {
        acknowledge();
      }
    } else if (statement instanceof Statement.Invalid invalid) {
      fail(requestId, ResultCode.MALFORMED, invalid.reason());
    }
  }

  private void begin(String requestId, Statement.Begin begin) {
    if (transaction != null) {
      fail(requestId, ResultCode.MALFORMED, "a transaction is open already");
      return;
    }
    admit(
        requestId,
        (route, customer) -> {
          transaction = new SessionTransaction(route, customer, begin.readOnly());
          acknowledge();
        });
  }

  private void commit(String requestId, Statement.Commit commit) {
    if (transaction == null) {
      fail(requestId, ResultCode.MALFORMED, "no transaction is open");
    } else if (transaction.hasFailed()) {
      transaction = null;
      fail(requestId, ResultCode.ABORTED, "the transaction failed and is rolled back");
    } else {
      inTransaction(requestId, Operation.COMMIT, commit.text(), Optional.empty());
    }
  }

  private void rollBack(String requestId) {
    if (transaction == null) {
      fail(requestId, ResultCode.MALFORMED, "no transaction is open");
      return;
    }
    endAtGateway();
    acknowledge();
  }

  private void endAtGateway() {
    SessionTransaction ending = transaction;
    transaction = null;
    if (ending != null && ending.isOpenAtGateway()) {
      StatementRequest request =
          request("-", Operation.ROLLBACK, "", Optional.empty(), ending.route(), ending);
      context.sender().sendInTransaction(ending.place(), request, (result, place) -> {});
    }
  }

  private void execute(String requestId, Statement.Execute execute) {
    PreparedShape shape = prepared.get(execute.name());
    if (shape == null) {
      fail(requestId, ResultCode.NO_STATEMENT, "no prepared statement of that name");
    } else {
      run(requestId, shape.access(), execute.arguments(), Optional.of(shape));
    }
  }

  private void run(
      String requestId, Access access, String text, Optional<PreparedShape> statement) {
    boolean writes = access == Access.WRITE;
    if (transaction != null) {
      Operation operation = writes ? Operation.TRANSACTION_WRITE : Operation.TRANSACTION_READ;
      inTransaction(requestId, operation, text, statement);
      return;
    }
    Operation operation = writes ? Operation.WRITE : Operation.READ;
    admit(
        requestId,
        (route, customer) -> runAlone(requestId, operation, text, statement, route, customer));
  }

  private void runAlone(
      String requestId,
      Operation operation,
      String text,
      Optional<PreparedShape> statement,
      Route route,
      Customer customer) {
    SessionTransaction none = new SessionTransaction(route, customer, false);
    StatementRequest request = request(requestId, operation, text, statement, route, none);
    long startedAt = context.clock().now();
    busy = true;
    context
        .sender()
        .send(
            request,
            (result, place) -> {
              busy = false;
              if (result.code().guaranteesNoEffect()) {
                context.quota().putBack(customer);
              }
              if (result.isSuccess() && operation == Operation.WRITE) {
                seen = seen.maximum(result.position());
              }
              answer(request, result, startedAt, TransactionState.NONE);
            });
  }

  private void inTransaction(
      String requestId, Operation operation, String text, Optional<PreparedShape> statement) {
    SessionTransaction current = transaction;
    if (!isStillAllowed(current)) {
      endAtGateway();
      transaction = operation == Operation.COMMIT ? null : current.failed();
      fail(requestId, ResultCode.NO_CUSTOMER, "the key was withdrawn");
      return;
    }
    StatementRequest request =
        request(requestId, operation, text, statement, current.route(), current);
    long startedAt = context.clock().now();
    busy = true;
    if (current.isOpenAtGateway()) {
      context
          .sender()
          .sendInTransaction(
              current.place(),
              request,
              (result, place) -> onTransactionResult(request, result, place, startedAt));
    } else {
      context
          .sender()
          .send(request, (result, place) -> onTransactionResult(request, result, place, startedAt));
    }
  }

  private void onTransactionResult(
      StatementRequest request,
      StatementResult result,
      StatementSender.Place place,
      long startedAt) {
    busy = false;
    SessionTransaction current = transaction;
    if (current == null) {
      abandon(request, result, place);
      return;
    }
    if (request.operation() == Operation.COMMIT) {
      transaction = null;
      if (result.isSuccess() && !current.readOnly()) {
        seen = seen.maximum(result.position());
      }
    } else if (result.isSuccess()) {
      transaction = current.openAt(place, result.transaction());
    } else {
      transaction = current.failed();
      if (!current.isOpenAtGateway() && result.code().guaranteesNoEffect()) {
        context.quota().putBack(current.customer());
      }
    }
    if (ended) {
      endAtGateway();
      return;
    }
    answer(request, result, startedAt, state());
  }

  /** The session ended while the statement ran; what it opened is rolled back. */
  private void abandon(
      StatementRequest request, StatementResult result, StatementSender.Place place) {
    if (result.isSuccess() && result.transaction() != StatementRequest.NO_TRANSACTION) {
      Route route = context.catalog().route(database).orElse(null);
      if (route != null) {
        transaction =
            new SessionTransaction(
                    route, new Customer(request.customer(), NOBODY.allowance()), false)
                .openAt(place, result.transaction());
        endAtGateway();
      }
    }
  }

  private boolean isStillAllowed(SessionTransaction current) {
    return current.route().openToAll() || context.catalog().customer(key).isPresent();
  }

  /** Checks whether an operation may begin now; it goes on with the route and the customer. */
  private void admit(String requestId, BiConsumer<Route, Customer> next) {
    Optional<Route> route = context.catalog().route(database);
    Optional<Customer> customer = context.catalog().customer(key);
    if (route.isEmpty()) {
      fail(requestId, ResultCode.NO_DATABASE, "no such database");
    } else if (customer.isEmpty() && !route.get().openToAll()) {
      fail(requestId, ResultCode.NO_CUSTOMER, "unknown key");
    } else if (customer.isEmpty()) {
      next.accept(route.get(), NOBODY);
    } else {
      busy = true;
      context
          .quota()
          .admit(
              customer.get(),
              () -> onAdmitted(() -> next.accept(route.get(), customer.get())),
              refusal ->
                  onAdmitted(
                      () ->
                          fail(
                              requestId,
                              ResultCode.BUSY,
                              "the allowance of customer "
                                  + customer.get().name()
                                  + " "
                                  + refusal.text()
                                  + ": "
                                  + customer.get().allowance())));
    }
  }

  private void onAdmitted(Runnable next) {
    busy = false;
    if (!ended) {
      next.run();
      work();
    }
  }

  private StatementRequest request(
      String requestId,
      Operation operation,
      String text,
      Optional<PreparedShape> statement,
      Route route,
      SessionTransaction in) {
    return new StatementRequest(
        requestId,
        route.group(),
        in.customer().name(),
        operation,
        text,
        statement,
        values,
        route.kind(),
        route.stalenessInMilliseconds(),
        seen,
        in.handle(),
        in.readOnly(),
        route.priority(),
        route.timeoutInMilliseconds());
  }

  private TransactionState state() {
    if (transaction == null) {
      return TransactionState.NONE;
    }
    return transaction.hasFailed() ? TransactionState.FAILED : TransactionState.OPEN;
  }

  private void acknowledge() {
    writer.write(context.dialect().success(List.of(), "", state(), seen));
  }

  private void answer(
      StatementRequest request, StatementResult result, long startedAt, TransactionState state) {
    long took = context.clock().now() - startedAt;
    writer.answer(request, result, took, state, seen);
    work();
  }

  private void fail(String requestId, ResultCode code, String reason) {
    writer.refuse(requestId, code, reason, state(), seen);
  }

  private void closeWith(Buffer last) {
    writer.writeLast(last);
    end();
  }

  /** Closes the session if it is idle and the VM stops. */
  void closeWhenStopping() {
    if (context.isStopping() && !busy && transaction == null && waiting.isEmpty() && !ended) {
      socket.close();
      end();
    }
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    writer.stop();
    waiting.clear();
    if (!busy) {
      endAtGateway();
    }
    onEnd.run();
  }
}
