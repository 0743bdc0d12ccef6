package org.toucanmast.runtime.gateway;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.feature.Feature;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.request.RetryBudget;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;

/** Gateway of one database group: runs its statements on its endpoints. */
public final class GroupGateway {
  /** How long positions of the primary are kept; longer than the staleness that routes allow. */
  private static final long POSITION_HISTORY_IN_MILLISECONDS = 10_000;

  /**
   * Retries that each statement adds to the budget; a fraction, so that retries cannot double the
   * load.
   */
  private static final double RETRIES_PER_STATEMENT = 0.1;

  private static final double MAXIMUM_SAVED_RETRIES = 20;

  /** The reason of results that statements get because their gateway was closed. */
  public static final String CLOSED = "the gateway is closed";

  private final GatewayContext context;
  private final String group;
  private final Map<String, EndpointPool> pools = new HashMap<>();
  private final PositionHistory history = new PositionHistory(POSITION_HISTORY_IN_MILLISECONDS);
  private final RetryBudget retryBudget =
      new RetryBudget(RETRIES_PER_STATEMENT, MAXIMUM_SAVED_RETRIES);
  private final Set<StatementAttempt> runningAttempts = new LinkedHashSet<>();
  private final OpenTransactions transactions = new OpenTransactions();
  private final PrimaryMonitor primaryMonitor;
  private final StatementQueues queues;
  private final WaitingStatements waitingStatements;
  private final FormerHolders formerHolders;
  private final OverdueAttempts overdueAttempts;
  private final SilentConnections silentConnections;
  private final NearbyReplicas nearbyReplicas;
  private final ReadPlacement readPlacement;
  private final AttemptResultHandler resultHandler;
  private final StatementLogger statementLogger;
  private final Optional<ObjectiveScheduler> scheduler;
  private long arrivedStatements;
  private long lastStatementAt = Long.MIN_VALUE / 2;
  private boolean dispatching;
  private boolean closed;

  /** Creates a gateway without endpoints. */
  public GroupGateway(GatewayContext context, String group) {
    this.context = context;
    this.group = group;
    this.primaryMonitor =
        new PrimaryMonitor(context, group, pools, history, this::hasRunningWrites, this::dispatch);
    this.queues = new StatementQueues(context, pools, primaryMonitor);
    this.waitingStatements = new WaitingStatements(transactions, queues, this::rollBack);
    this.formerHolders = new FormerHolders(context, transactions, queues, this::rollBack);
    this.overdueAttempts = new OverdueAttempts(context, queues, retryBudget);
    this.silentConnections = new SilentConnections(context, pools.values(), runningAttempts);
    this.nearbyReplicas = new NearbyReplicas(context.dataCentre(), pools, primaryMonitor);
    this.readPlacement =
        new ReadPlacement(context.dataCentre(), pools, history, primaryMonitor, nearbyReplicas);
    this.scheduler =
        context.isEnabled(Feature.SCHEDULING_BY_OBJECTIVE)
            ? Optional.of(
                new ObjectiveScheduler(
                    pools, primaryMonitor, readPlacement, runningAttempts, context.metrics()))
            : Optional.empty();
    queues.setScheduler(scheduler);
    this.statementLogger = new StatementLogger(context, group, primaryMonitor);
    this.resultHandler =
        new AttemptResultHandler(
            context,
            primaryMonitor,
            queues,
            transactions,
            retryBudget,
            runningAttempts,
            this::redirectToPrimary,
            this::dispatch);
  }

  /**
   * Adds an endpoint, or applies a newer entry of a known one.
   *
   * @param changedSince the earliest time at which the entry may have been changed
   */
  public void onEndpointUpdated(EndpointEntry entry, long changedSince) {
    EndpointPool pool = pools.get(entry.id());
    if (pool == null) {
      pool = context.newPool(history, entry, changedSince);
      pools.put(entry.id(), pool);
    } else {
      pool.update(entry, changedSince);
    }
    pool.setTakenOut(context.takenOutSince(entry.dataCentre()));
    primaryMonitor.onEndpointUpdated(entry);
    dispatch();
  }

  /** Removes an endpoint that no longer belongs to the group, and closes its connections. */
  public void onEndpointRemoved(String endpointId) {
    EndpointPool pool = pools.remove(endpointId);
    if (pool != null) {
      primaryMonitor.onEndpointRemoved(endpointId);
      pool.close();
      dispatch();
    }
  }

  /**
   * Applies the connection limits and the data centres that are taken out, after either has
   * changed.
   */
  public void onConfigurationChanged() {
    for (EndpointPool pool : pools.values()) {
      pool.setMaximumConnections(context.maximumConnections(group));
      pool.setTakenOut(context.takenOutSince(pool.entry().dataCentre()));
      pool.closeIdleIf(connection -> !context.holdsKey(connection.customer()));
    }
    formerHolders.endWork();
    dispatch();
  }

  /**
   * Discards the times at which positions were observed, after the clocks were found to disagree.
   */
  public void discardObservationTimes() {
    history.discardTimes();
  }

  /**
   * Runs a statement. The consumer is called once, with its result.
   *
   * @param origin the run of a VM that sent the statement
   */
  public void execute(
      StatementRequest request, VmRun origin, Consumer<StatementResult> resultConsumer) {
    long now = context.clock().now();
    lastStatementAt = now;
    PendingStatement statement =
        new PendingStatement(
            request,
            origin,
            now,
            arrivedStatements++,
            (finished, result) -> {
              statementLogger.onFinished(finished, result, queues.size());
              resultConsumer.accept(result);
            });
    if (closed) {
      statement.fail(ResultCode.BUSY, CLOSED);
      return;
    }
    if (waitingStatements.refuses(statement) || formerHolders.refuses(statement)) {
      return;
    }
    retryBudget.recordFirstAttempt();
    if (request.transaction() != StatementRequest.NO_TRANSACTION) {
      continueTransaction(statement, now);
      return;
    }
    if (request.operation() == Operation.ROLLBACK) {
      statement.finish(StatementResult.emptySuccess());
      return;
    }
    if (request.nearbyOnly() && !nearbyReplicas.accept(queues.size(), now)) {
      statement.failNotNearby();
      return;
    }
    queues.offer(statement);
    if (!statement.isDone()) {
      dispatch();
    }
  }

  private void continueTransaction(PendingStatement statement, long now) {
    Optional<OpenTransaction> found = transactions.find(statement.request());
    if (found.isEmpty()) {
      statement.fail(ResultCode.ABORTED, "the transaction is no longer open");
      return;
    }
    OpenTransaction transaction = found.get();
    transaction.continueWith(statement.request().claim(), now);
    if (statement.request().operation() == Operation.ROLLBACK) {
      rollBack(transaction);
      statement.finish(StatementResult.emptySuccess());
    } else if (primaryMonitor.mayContinue(transaction, statement.request())) {
      startInTransaction(statement, transaction);
    } else {
      transactions.addWaiting(statement);
    }
  }

  private boolean hasRunningWrites(EndpointPool pool) {
    return runningAttempts.stream().anyMatch(attempt -> attempt.mayCommitAt(pool));
  }

  /** Starts the waiting statements that can be started. */
  void dispatch() {
    if (dispatching || closed || waitingStatements.refuseAll()) {
      return;
    }
    dispatching = true;
    try {
      long now = context.clock().now();
      dispatchTransactionStatements();
      if (scheduler.isPresent()) {
        scheduler.get().dispatch(statement -> endIfUnstartable(statement, now), this::start, now);
      } else {
        dispatchToPrimary(now);
        dispatchReads(now);
      }
    } finally {
      dispatching = false;
    }
  }

  private void dispatchTransactionStatements() {
    for (PendingStatement statement : transactions.waitingStatements()) {
      Optional<OpenTransaction> transaction = transactions.find(statement.request());
      if (transaction.isEmpty()) {
        transactions.removeWaiting(statement);
        statement.fail(ResultCode.ABORTED, "the transaction is no longer open");
      } else if (formerHolders.refuses(statement)) {
        transactions.removeWaiting(statement);
      } else if (primaryMonitor.mayContinue(transaction.get(), statement.request())) {
        transactions.removeWaiting(statement);
        startInTransaction(statement, transaction.get());
      }
    }
  }

  private void dispatchToPrimary(long now) {
    while (queues.hasStatementsForPrimary()) {
      Optional<EndpointPool> primary = primaryMonitor.primaryThatCanStart(now);
      if (primary.isEmpty()) {
        return;
      }
      PendingStatement statement = queues.nextForPrimary(now).orElseThrow();
      if (!endIfUnstartable(statement, now)) {
        boolean wrapped = statement.request().operation() == Operation.READ;
        start(statement, primary.get(), Optional.empty(), wrapped);
      }
    }
  }

  private void dispatchReads(long now) {
    while (queues.hasReads()) {
      if (pools.values().stream().noneMatch(pool -> pool.canStart(now))) {
        return;
      }
      PendingStatement read = queues.currentRead(now).orElseThrow();
      if (!endIfUnstartable(read, now) && !placeRead(read, now)) {
        return;
      }
      queues.removeCurrentRead();
    }
  }

  /** Starts a read or redirects it to the primary; returns false if it must wait. */
  private boolean placeRead(PendingStatement statement, long now) {
    ReadPlacement.Decision decision = readPlacement.decide(statement, now);
    switch (decision.kind()) {
      case RUN -> start(statement, decision.pool().orElseThrow(), decision.minimumPosition());
      case PRIMARY -> redirectToPrimary(statement);
      case WAIT -> {
        return false;
      }
      default -> throw new IllegalStateException("unknown decision " + decision.kind());
    }
    return true;
  }

  private void redirectToPrimary(PendingStatement statement) {
    if (statement.request().nearbyOnly()) {
      statement.failNotNearby();
      return;
    }
    if (scheduler.isPresent()) {
      queues.add(statement);
      return;
    }
    statement.requirePrimary();
    if (queues.admits(statement)) {
      queues.add(statement);
      dispatchToPrimary(context.clock().now());
    } else {
      statement.fail(ResultCode.BUSY, "only the primary holds the data, and it is full");
    }
  }

  /**
   * Fails a statement whose deadline has passed or whose key has changed hands, unless an attempt
   * at it is running. Returns whether the statement must not be started any more.
   */
  private boolean endIfUnstartable(PendingStatement statement, long now) {
    boolean overdue = now >= statement.deadline();
    if (!overdue && context.isHeld(statement.request().claim())) {
      return statement.isDone();
    }
    if (!statement.hasRunningAttempt()) {
      statement.fail(
          ResultCode.BUSY, overdue ? "waited too long for an endpoint" : KeyClaim.NOT_HELD);
    }
    return true;
  }

  private void start(
      PendingStatement statement, EndpointPool pool, Optional<Position> minimumPosition) {
    start(statement, pool, minimumPosition, statement.isWrapped(minimumPosition));
  }

  private void start(
      PendingStatement statement,
      EndpointPool pool,
      Optional<Position> minimumPosition,
      boolean wrapped) {
    StatementRequest request = statement.request();
    Optional<EndpointConnection> connection = pool.acquire(request.customer(), request.values());
    if (connection.isEmpty()) {
      queues.add(statement);
      return;
    }
    startAttempt(
        new StatementAttempt(
            statement,
            pool,
            connection.get(),
            minimumPosition,
            wrapped,
            Optional.empty(),
            context.clock().now(),
            resultHandler));
  }

  private void startInTransaction(PendingStatement statement, OpenTransaction transaction) {
    startAttempt(
        new StatementAttempt(
            statement,
            transaction.pool(),
            transaction.connection(),
            Optional.empty(),
            false,
            Optional.of(transaction),
            context.clock().now(),
            resultHandler));
  }

  private void startAttempt(StatementAttempt attempt) {
    attempt.statement().onAttemptStarted(attempt.pool().entry().id(), attempt.startedAt());
    runningAttempts.add(attempt);
    attempt.start();
  }

  private void rollBack(OpenTransaction transaction) {
    transactions.remove(transaction);
    transaction.pool().rollBack(transaction.connection(), this::dispatch);
  }

  /**
   * Does the periodic work: retries reads whose reply seems lost, expires overdue statements and
   * idle transactions, checks the primary, and closes idle connections.
   */
  public void sweep() {
    if (closed) {
      return;
    }
    long now = context.clock().now();
    boolean active = now - lastStatementAt < context.activeGroupWindowMilliseconds();
    for (StatementAttempt attempt : List.copyOf(runningAttempts)) {
      overdueAttempts.check(attempt, now);
    }
    scheduler.ifPresent(present -> present.estimateAgain(now));
    queues.removeExpired(now).forEach(statement -> endIfUnstartable(statement, now));
    waitingStatements.expireInTransactions(now);
    transactions.idleFor(context.idleTransactionTimeoutMilliseconds(), now).forEach(this::rollBack);
    primaryMonitor.sweep(now, active, queues.hasStatementsForPrimary());
    silentConnections.close(now);
    long idleTimeoutMilliseconds = context.idleConnectionTimeoutMilliseconds(group);
    pools.values().forEach(pool -> pool.closeIdle(idleTimeoutMilliseconds));
    dispatch();
  }

  /**
   * Rolls back the open transactions of a VM's run that was lost, by closing their connections, and
   * drops its statements that wait.
   */
  public void onOriginLost(VmRun origin) {
    waitingStatements.failIf(statement -> statement.origin().equals(origin), "its VM was lost");
    transactions.closeThoseOf(origin, context.log());
    List.copyOf(runningAttempts).stream()
        .filter(attempt -> attempt.beginsTransactionOf(origin))
        .forEach(attempt -> attempt.connection().close());
  }

  /** Returns whether no statement is running or waits, and no transaction is open. */
  public boolean isIdle() {
    return runningAttempts.isEmpty() && transactions.size() == 0 && queues.size() == 0;
  }

  /**
   * Returns whether the next sweep may find something to do soon: statements that run or wait, open
   * transactions, or a primary that is being watched or replaced.
   */
  public boolean needsFrequentSweeps(long now) {
    return now - lastStatementAt < context.activeGroupWindowMilliseconds()
        || !isIdle()
        || primaryMonitor.isReplacing();
  }

  /**
   * Starts no statement any more, because the VM is about to end: those that wait or arrive are
   * refused while their callers can still be told that nothing is kept. A commit that is sent to an
   * endpoint shortly before the gateway closes would be in doubt.
   */
  public void refuseStatements() {
    waitingStatements.beginToRefuse();
  }

  /**
   * Closes all connections. The statements that are running or wait get a result at once, and so
   * does every later one.
   */
  public void close() {
    closed = true;
    waitingStatements.failIf(statement -> true, CLOSED);
    List.copyOf(pools.values()).forEach(EndpointPool::close);
    // Reads whose connection was closed wait for another attempt.
    waitingStatements.failIf(statement -> true, CLOSED);
    transactions.clear();
  }
}
