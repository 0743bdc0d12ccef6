package org.toucanmast.runtime.gateway;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.request.RetryBudget;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.events.EventKind;

/** Runs the statements of one database group on its endpoints. */
public final class GroupGateway {
  /** How long positions of the primary are remembered: longer than routes let data age. */
  private static final long HISTORY_IN_MILLISECONDS = 10_000;

  /** Second attempts that each statement earns, so that repeats cannot double the load. */
  private static final double REPEATS_PER_STATEMENT = 0.1;

  private static final double MOST_REPEATS_SAVED = 20;

  /** A read is repeated elsewhere no sooner than this, in milliseconds. */
  private static final double SHORTEST_WAIT_BEFORE_REPEAT = 100;

  /** A transaction's statement without an answer is given up no sooner than this. */
  private static final double SHORTEST_WAIT_IN_TRANSACTION = 400;

  /** Multiples of the endpoint's high time after which an answer is thought to be lost. */
  private static final double LOST_AFTER_HIGH_TIMES = 2;

  /** How long an unanswered connection is kept after the statement's time has run out. */
  private static final long KEEP_UNANSWERED_IN_MILLISECONDS = 2_000;

  /** Connections that no statement used for this long are closed. */
  private static final long KEEP_IDLE_IN_MILLISECONDS = 15_000;

  /** The same where another VM is the first choice, which needs the room at the endpoints. */
  private static final long KEEP_IDLE_ELSEWHERE_IN_MILLISECONDS = 1_000;

  private final GatewayContext context;
  private final String group;
  private final Map<String, EndpointPool> pools = new HashMap<>();
  private final PositionHistory history = new PositionHistory(HISTORY_IN_MILLISECONDS);
  private final RetryBudget repeats = new RetryBudget(REPEATS_PER_STATEMENT, MOST_REPEATS_SAVED);
  private final Set<StatementRun> running = new LinkedHashSet<>();
  private final OpenTransactions transactions = new OpenTransactions();
  private final PrimaryMonitor primaryMonitor;
  private final StatementQueues queues;
  private final ReadPlacement placement;
  private final StatementOutcomes outcomes;
  private final StatementRecorder recorder;
  private PendingStatement nextRead;
  private long lastActive = Long.MIN_VALUE / 2;
  private boolean pumping;

  /** Creates a gateway without endpoints. */
  public GroupGateway(GatewayContext context, String group) {
    this.context = context;
    this.group = group;
    this.primaryMonitor = new PrimaryMonitor(context, group, pools, history, this::pump);
    this.queues = new StatementQueues(context, pools, primaryMonitor);
    this.placement = new ReadPlacement(pools, history, primaryMonitor);
    this.recorder = new StatementRecorder(context, group, primaryMonitor);
    this.outcomes =
        new StatementOutcomes(
            context,
            primaryMonitor,
            queues,
            transactions,
            repeats,
            running,
            this::handToPrimary,
            this::pump);
  }

  /** Takes an endpoint's entry. */
  public void onEndpointUpdated(EndpointEntry entry) {
    EndpointPool pool = pools.get(entry.id());
    if (pool == null) {
      pool =
          new EndpointPool(
              context.client(),
              context.endpointDialect(),
              context.clock(),
              context.log(),
              history,
              entry,
              context.maximumConnections(group));
      pools.put(entry.id(), pool);
    } else {
      pool.update(entry);
    }
    pool.setTakenOut(context.isTakenOut(entry.dataCentre()));
    primaryMonitor.onEndpointUpdated(entry);
    pump();
  }

  /** Takes the removal of an endpoint's entry. */
  public void onEndpointRemoved(String endpointId) {
    EndpointPool pool = pools.remove(endpointId);
    if (pool != null) {
      primaryMonitor.onEndpointRemoved(endpointId);
      pool.close();
      pump();
    }
  }

  /** Reads limits and data centres again, after a change of the configuration. */
  public void onConfigurationChanged() {
    for (EndpointPool pool : pools.values()) {
      pool.setMaximumConnections(context.maximumConnections(group));
      pool.setTakenOut(context.isTakenOut(pool.entry().dataCentre()));
    }
    pump();
  }

  /** Drops what is known only by its age. */
  public void discardObservationTimes() {
    history.distrust();
  }

  /**
   * Runs a statement; the consumer is called once.
   *
   * @param caller the VM that the statement comes from
   */
  public void execute(StatementRequest request, String caller, Consumer<StatementResult> consumer) {
    long now = context.clock().now();
    lastActive = now;
    PendingStatement statement =
        new PendingStatement(
            request,
            caller,
            now,
            (ended, result) -> {
              recorder.onEnded(ended, result, queues.size());
              consumer.accept(result);
            });
    repeats.earn();
    if (request.transaction() != StatementRequest.NO_TRANSACTION) {
      continueTransaction(statement, now);
      return;
    }
    if (request.operation() == Operation.ROLLBACK) {
      statement.finish(StatementResult.done());
      return;
    }
    if (!queues.admits(statement)) {
      statement.refuse(ResultCode.BUSY, "expected wait exceeds the time left");
      return;
    }
    queues.add(statement);
    pump();
  }

  private void continueTransaction(PendingStatement statement, long now) {
    Optional<OpenTransaction> found = transactions.of(statement.request());
    if (found.isEmpty()) {
      statement.refuse(ResultCode.ABORTED, "the transaction is no longer open");
      return;
    }
    OpenTransaction transaction = found.get();
    transaction.setRunning(true, now);
    if (statement.request().operation() == Operation.ROLLBACK) {
      rollBack(transaction);
      statement.finish(StatementResult.done());
    } else if (transaction.pool().hasSlot()) {
      run(statement, transaction.pool(), transaction.connection(), Optional.empty(), false);
    } else {
      transactions.await(statement);
    }
  }

  /** Starts what can be started. */
  void pump() {
    if (pumping) {
      return;
    }
    pumping = true;
    try {
      long now = context.clock().now();
      pumpPinned();
      pumpPrimary(now);
      pumpReads(now);
    } finally {
      pumping = false;
    }
  }

  private void pumpPinned() {
    for (PendingStatement statement : transactions.waiting()) {
      Optional<OpenTransaction> transaction = transactions.of(statement.request());
      if (transaction.isEmpty()) {
        transactions.noLongerWaiting(statement);
        statement.refuse(ResultCode.ABORTED, "the transaction is no longer open");
      } else if (transaction.get().pool().hasSlot()) {
        transactions.noLongerWaiting(statement);
        OpenTransaction open = transaction.get();
        run(statement, open.pool(), open.connection(), Optional.empty(), false);
      }
    }
  }

  private void pumpPrimary(long now) {
    while (queues.hasForPrimary()) {
      Optional<EndpointPool> primary =
          primaryMonitor
              .primary()
              .filter(pool -> pool.acceptsPrimaryWork(now) && pool.canStart(now));
      if (primary.isEmpty()) {
        return;
      }
      PendingStatement statement = queues.nextForPrimary(now).orElseThrow();
      if (!isExpired(statement, now)) {
        boolean wrapped = statement.request().operation() == Operation.READ;
        start(statement, primary.get(), Optional.empty(), wrapped);
      }
    }
  }

  private void pumpReads(long now) {
    while (nextRead != null || queues.hasReads()) {
      if (pools.values().stream().noneMatch(pool -> pool.canStart(now))) {
        return;
      }
      if (nextRead == null) {
        nextRead = queues.nextRead(now).orElseThrow();
      }
      if (isExpired(nextRead, now)) {
        nextRead = null;
        continue;
      }
      if (!placeRead(nextRead, now)) {
        return;
      }
      nextRead = null;
    }
  }

  /** Starts a read or hands it to the primary; returns false when it must wait. */
  private boolean placeRead(PendingStatement statement, long now) {
    ReadPlacement.Decision decision = placement.decide(statement, now);
    switch (decision.kind()) {
      case RUN -> start(statement, decision.pool().orElseThrow(), decision.after(), false);
      case PRIMARY -> handToPrimary(statement);
      case WAIT -> {
        return false;
      }
      default -> throw new IllegalStateException("unknown decision " + decision.kind());
    }
    return true;
  }

  private void handToPrimary(PendingStatement statement) {
    statement.requirePrimary();
    if (queues.admits(statement)) {
      queues.add(statement);
      pumpPrimary(context.clock().now());
    } else {
      statement.refuse(ResultCode.BUSY, "only the primary holds the data, and it is full");
    }
  }

  private boolean isExpired(PendingStatement statement, long now) {
    if (now < statement.deadline()) {
      return statement.isDone();
    }
    if (!statement.isRunning()) {
      statement.refuse(ResultCode.BUSY, "waited too long for an endpoint");
    }
    return true;
  }

  private void start(
      PendingStatement statement, EndpointPool pool, Optional<Position> after, boolean wrapped) {
    StatementRequest request = statement.request();
    Optional<EndpointConnection> connection = pool.acquire(request.customer(), request.values());
    if (connection.isEmpty()) {
      queues.add(statement);
      return;
    }
    run(statement, pool, connection.get(), after, wrapped);
  }

  private void run(
      PendingStatement statement,
      EndpointPool pool,
      EndpointConnection connection,
      Optional<Position> after,
      boolean wrapped) {
    long now = context.clock().now();
    statement.started(pool.entry().id(), now);
    StatementRun attempt =
        new StatementRun(statement, pool, connection, after, wrapped, now, outcomes);
    running.add(attempt);
    attempt.start();
  }

  private void rollBack(OpenTransaction transaction) {
    transactions.remove(transaction);
    transaction.pool().rollBack(transaction.connection(), this::pump);
  }

  /** Repeats what seems lost and ends what has run out of time. */
  public void sweep() {
    long now = context.clock().now();
    boolean active = now - lastActive < context.activeForMilliseconds();
    for (StatementRun run : List.copyOf(running)) {
      sweepRun(run, now);
    }
    queues.removeExpired(now).forEach(statement -> isExpired(statement, now));
    expirePinned(now);
    transactions.idleFor(context.idleTransactionMilliseconds(), now).forEach(this::rollBack);
    primaryMonitor.sweep(now, active, queues.hasForPrimary());
    long keepIdle =
        context.isAssignedGateway(group)
            ? KEEP_IDLE_IN_MILLISECONDS
            : KEEP_IDLE_ELSEWHERE_IN_MILLISECONDS;
    pools.values().forEach(pool -> pool.closeIdle(keepIdle));
    pump();
  }

  private void expirePinned(long now) {
    for (PendingStatement statement : transactions.waiting()) {
      Optional<OpenTransaction> transaction = transactions.of(statement.request());
      if (transaction.isPresent() && now >= statement.deadline()) {
        transactions.noLongerWaiting(statement);
        rollBack(transaction.get());
        statement.refuse(ResultCode.ABORTED, "waited too long for a slot");
      }
    }
  }

  private void sweepRun(StatementRun run, long now) {
    PendingStatement statement = run.statement();
    Operation operation = statement.request().operation();
    double usual = run.pool().serviceTimes().high() * LOST_AFTER_HIGH_TIMES;
    long elapsed = now - run.startedAt();
    if (now >= statement.deadline() && !statement.isDone()) {
      statement.refuse(ResultCode.TIMEOUT, "no answer within the route's timeout");
    }
    if (statement.isDone()) {
      if (now - statement.deadline() > KEEP_UNANSWERED_IN_MILLISECONDS) {
        run.connection().close();
      }
    } else if (operation == Operation.READ) {
      if (elapsed > Math.max(SHORTEST_WAIT_BEFORE_REPEAT, usual)) {
        repeatElsewhere(statement);
      }
    } else if (operation == Operation.TRANSACTION_READ
        || operation == Operation.TRANSACTION_WRITE) {
      if (elapsed > Math.max(SHORTEST_WAIT_IN_TRANSACTION, usual)) {
        run.connection().close();
      }
    }
  }

  private void repeatElsewhere(PendingStatement statement) {
    if (statement.attempts() >= 2 || !repeats.trySpend()) {
      return;
    }
    context.log().log(
        EventKind.REQUEST_MOVED,
        "read repeated elsewhere",
        "request",
        statement.request().requestId());
    queues.add(statement);
  }

  /** Rolls back the transactions of a VM that is gone. */
  public void onOriginVmLost(String caller) {
    for (OpenTransaction transaction : transactions.ofCaller(caller)) {
      transactions.remove(transaction);
      transaction.connection().close();
    }
  }

  /** Returns whether nothing waits or runs. */
  public boolean isIdle() {
    return running.isEmpty() && transactions.size() == 0 && !queues.hasForPrimary();
  }

  /** Closes all connections; what runs fails. */
  public void close() {
    List.copyOf(pools.values()).forEach(EndpointPool::close);
  }
}
