package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.gateway.Admission;
import org.toucanmast.core.gateway.WorkQueue;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.request.RetryBudget;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.core.statement.TransactionState;
import org.toucanmast.runtime.events.EventKind;

/** Runs the statements of one database group on its endpoints. */
public final class GroupGateway implements StatementRun.Outcome {
  /** The most attempts at one statement; further ones would only take slots from others. */
  private static final int MOST_ATTEMPTS = 4;

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

  /** Pause of an endpoint that said it is full, in milliseconds. */
  private static final long PAUSE_WHEN_FULL = 5;

  /** How long an unanswered connection is kept after the statement's time has run out. */
  private static final long KEEP_UNANSWERED_IN_MILLISECONDS = 2_000;

  private final GatewayContext context;
  private final String group;
  private final Map<String, EndpointPool> pools = new HashMap<>();
  private final PositionHistory history = new PositionHistory(HISTORY_IN_MILLISECONDS);
  private final RetryBudget repeats = new RetryBudget(REPEATS_PER_STATEMENT, MOST_REPEATS_SAVED);
  private final WorkQueue<PendingStatement> primaryQueue = new WorkQueue<>();
  private final WorkQueue<PendingStatement> readQueue = new WorkQueue<>();
  private final List<PendingStatement> pinnedQueue = new ArrayList<>();
  private final Set<StatementRun> running = new LinkedHashSet<>();
  private final Map<Long, OpenTransaction> transactions = new HashMap<>();
  private final LeaderKeeper keeper;
  private PendingStatement nextRead;
  private long lastActive = Long.MIN_VALUE / 2;
  private boolean pumping;

  /** Creates a gateway without endpoints. */
  public GroupGateway(GatewayContext context, String group) {
    this.context = context;
    this.group = group;
    this.keeper = new LeaderKeeper(context, group, pools, history, this::pump);
  }

  /** Takes an endpoint's entry. */
  public void onEndpoint(EndpointEntry entry) {
    EndpointPool pool = pools.get(entry.id());
    if (pool == null) {
      pool =
          new EndpointPool(
              context.client(),
              context.endpointDialect(),
              context.clock(),
              context.log(),
              entry,
              context.maximumConnections(group));
      pools.put(entry.id(), pool);
    } else {
      pool.update(entry);
    }
    pool.setTakenOut(context.isTakenOut(entry.dataCentre()));
    keeper.onEntry(entry);
    pump();
  }

  /** Takes the removal of an endpoint's entry. */
  public void onEndpointGone(String endpointId) {
    EndpointPool pool = pools.remove(endpointId);
    if (pool != null) {
      keeper.onGone(endpointId);
      pool.close();
      pump();
    }
  }

  /** Reads limits and data centres again, after a change of the configuration. */
  public void onCatalog() {
    for (EndpointPool pool : pools.values()) {
      pool.setMaximumConnections(context.maximumConnections(group));
      pool.setTakenOut(context.isTakenOut(pool.entry().dataCentre()));
    }
    pump();
  }

  /** Drops what is known only by its age. */
  public void distrustTimes() {
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
    PendingStatement statement = new PendingStatement(request, caller, now, consumer);
    repeats.earn();
    if (request.transaction() != StatementRequest.NO_TRANSACTION) {
      continueTransaction(statement, now);
      return;
    }
    if (request.operation() == Operation.ROLLBACK) {
      statement.finish(success(List.of(), "", Position.NONE, StatementRequest.NO_TRANSACTION));
      return;
    }
    if (!admits(statement)) {
      refuse(statement, ResultCode.BUSY, "expected wait exceeds the time left");
      return;
    }
    enqueue(statement);
    pump();
  }

  private boolean admits(PendingStatement statement) {
    long now = context.clock().now();
    StatementRequest request = statement.request();
    WorkQueue<PendingStatement> queue = queueOf(statement);
    int slots = 0;
    int free = 0;
    double service = 0;
    int counted = 0;
    for (EndpointPool pool : pools.values()) {
      boolean leader = keeper.leads(pool.entry().id());
      if (!pool.mayWork() && !leader || statement.needsPrimary() && !leader) {
        continue;
      }
      slots += pool.usableSlots(now);
      free += pool.canStart(now) ? 1 : 0;
      service += pool.serviceTimes().mean();
      counted++;
    }
    if (counted == 0) {
      slots = 1;
      counted = 1;
    }
    double mean = service / counted;
    int ahead = queue.aheadOf(request.priority(), request.customer());
    double wait =
        Admission.expectedWait(
            Admission.expectedWait(ahead, slots, free, mean),
            queue.backlogTime(request.priority(), request.customer()));
    if (statement.needsPrimary()) {
      wait = Math.max(wait, keeper.expectedOutage(now));
    }
    return Admission.admits(wait, mean, statement.deadline() - now);
  }

  private WorkQueue<PendingStatement> queueOf(PendingStatement statement) {
    return statement.needsPrimary() ? primaryQueue : readQueue;
  }

  private void enqueue(PendingStatement statement) {
    StatementRequest request = statement.request();
    boolean queued =
        queueOf(statement)
            .offer(request.priority(), request.customer(), statement, context.clock().now());
    if (!queued) {
      refuse(statement, ResultCode.BUSY, "too many statements of this customer wait");
    }
  }

  private void continueTransaction(PendingStatement statement, long now) {
    OpenTransaction transaction = transactions.get(statement.request().transaction());
    if (transaction == null) {
      refuse(statement, ResultCode.ABORTED, "the transaction is no longer open");
      return;
    }
    transaction.setRunning(true, now);
    if (statement.request().operation() == Operation.ROLLBACK) {
      rollBack(transaction);
      statement.finish(success(List.of(), "", Position.NONE, StatementRequest.NO_TRANSACTION));
      return;
    }
    if (transaction.pool().hasSlot()) {
      run(statement, transaction.pool(), transaction.connection(), Optional.empty(), false);
    } else {
      pinnedQueue.add(statement);
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
    for (PendingStatement statement : List.copyOf(pinnedQueue)) {
      OpenTransaction transaction = transactions.get(statement.request().transaction());
      if (transaction == null) {
        pinnedQueue.remove(statement);
        refuse(statement, ResultCode.ABORTED, "the transaction is no longer open");
      } else if (transaction.pool().hasSlot()) {
        pinnedQueue.remove(statement);
        run(statement, transaction.pool(), transaction.connection(), Optional.empty(), false);
      }
    }
  }

  private void pumpPrimary(long now) {
    while (primaryQueue.size() > 0) {
      Optional<EndpointPool> leader = keeper.leader().filter(pool -> pool.canStart(now));
      if (leader.isEmpty()) {
        return;
      }
      PendingStatement statement = primaryQueue.poll(now).orElseThrow();
      if (!isExpired(statement, now)) {
        boolean wrapped = statement.request().operation() == Operation.READ;
        start(statement, leader.get(), Optional.empty(), wrapped);
      }
    }
  }

  private void pumpReads(long now) {
    while (nextRead != null || readQueue.size() > 0) {
      if (pools.values().stream().noneMatch(pool -> pool.canStart(now))) {
        return;
      }
      if (nextRead == null) {
        nextRead = readQueue.poll(now).orElseThrow();
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

  /** Starts a read or hands it to the primary; returns false when it must wait for a slot. */
  private boolean placeRead(PendingStatement statement, long now) {
    StatementRequest request = statement.request();
    Optional<Position> needed =
        history
            .required(request.stalenessInMilliseconds(), now)
            .map(
                position ->
                    request.kind() == RouteKind.READ_YOUR_WRITES
                        ? position.maximum(request.seen())
                        : position);
    if (needed.isEmpty()) {
      if (keeper.observeNow(now)) {
        return false;
      }
      handToPrimary(statement);
      return true;
    }
    List<EndpointPool> holding =
        pools.values().stream()
            .filter(pool -> pool.mayWork() && pool.isReachable(now))
            .filter(pool -> !statement.hasTried(pool.entry().id()))
            .filter(pool -> probablyHolds(pool, needed.get(), now))
            .toList();
    if (holding.isEmpty()) {
      handToPrimary(statement);
      return true;
    }
    Optional<EndpointPool> best =
        holding.stream()
            .filter(pool -> pool.canStart(now))
            .min(Comparator.comparingDouble(pool -> placementCost(pool, request.customer())));
    best.ifPresent(pool -> start(statement, pool, needed, false));
    return best.isPresent();
  }

  private boolean probablyHolds(EndpointPool pool, Position needed, long now) {
    return keeper.leads(pool.entry().id()) || pool.lag().probablyHolds(needed, history, now);
  }

  private double placementCost(EndpointPool pool, String customer) {
    double cost = pool.load();
    if (!pool.hasIdle(customer)) {
      cost += COST_OF_NEW_CONNECTION;
    }
    if (keeper.leads(pool.entry().id())) {
      cost += COST_OF_PRIMARY;
    }
    return cost;
  }

  /** Opening a connection takes about a third of a slot for the time of a statement. */
  private static final double COST_OF_NEW_CONNECTION = 0.3;

  /** Reads leave the primary's slots to writes while a replica is no fuller than this. */
  private static final double COST_OF_PRIMARY = 0.6;

  private void handToPrimary(PendingStatement statement) {
    statement.requirePrimary();
    if (admits(statement)) {
      enqueue(statement);
      pumpPrimary(context.clock().now());
    } else {
      refuse(statement, ResultCode.BUSY, "only the primary holds the data, and it is full");
    }
  }

  private boolean isExpired(PendingStatement statement, long now) {
    if (now < statement.deadline()) {
      return statement.isDone();
    }
    if (!statement.isRunning()) {
      refuse(statement, ResultCode.BUSY, "waited too long for an endpoint");
    }
    return true;
  }

  private void start(
      PendingStatement statement, EndpointPool pool, Optional<Position> after, boolean wrapped) {
    StatementRequest request = statement.request();
    Optional<EndpointConnection> connection = pool.acquire(request.customer(), request.values());
    if (connection.isEmpty()) {
      enqueue(statement);
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
    StatementRun attempt = new StatementRun(statement, pool, connection, after, wrapped, now, this);
    running.add(attempt);
    attempt.start();
  }

  @Override
  public void onBeginRefused(StatementRun run, EndpointReply reply) {
    ended(run);
    freeOrClose(run, reply);
    keeper.onReply(run.pool(), reply, run.startedAt(), false);
    again(run, reply.code());
    pump();
  }

  @Override
  public void onReply(StatementRun run, EndpointReply reply) {
    long now = context.clock().now();
    ended(run);
    run.pool().suspicion().answered();
    run.pool().serviceTimes().observe(now - run.startedAt());
    StatementRequest request = run.statement().request();
    boolean provesLead =
        reply.isSuccess()
            && (run.isWrapped()
                || request.operation() == Operation.WRITE
                || request.operation().inTransaction() && run.statement().needsPrimary());
    keeper.onReply(run.pool(), reply, run.startedAt(), provesLead);
    if (reply.code() == ResultCode.NO_STATEMENT) {
      run.connection().forgetPrepared();
    }
    if (request.operation().inTransaction()) {
      onTransactionReply(run, reply, now);
    } else {
      if (!run.isWrapped()) {
        freeOrClose(run, reply);
      }
      onLoneReply(run, reply);
    }
    pump();
  }

  private void onLoneReply(StatementRun run, EndpointReply reply) {
    PendingStatement statement = run.statement();
    boolean mayRepeat =
        reply.code().promisesNothingKept() || statement.request().operation() == Operation.READ;
    if (reply.isSuccess() || !mayRepeat) {
      statement.finish(toResult(reply, StatementRequest.NO_TRANSACTION));
      return;
    }
    if (reply.code() == ResultCode.LAGGING) {
      run.pool().lag().refused();
    }
    again(run, reply.code());
  }

  /** Repeats a statement that did not run, or that only reads; or ends it with the code. */
  private void again(StatementRun run, ResultCode code) {
    PendingStatement statement = run.statement();
    if (statement.isDone() || statement.isRunning()) {
      return;
    }
    long now = context.clock().now();
    if (code == ResultCode.BUSY) {
      run.pool().avoid(PAUSE_WHEN_FULL);
    }
    boolean worthwhile = statement.attempts() < MOST_ATTEMPTS && now < statement.deadline();
    boolean paid = code == ResultCode.LAGGING || code == ResultCode.READ_ONLY || repeats.trySpend();
    if (!worthwhile || !paid) {
      refuse(statement, code == ResultCode.SUCCESS ? ResultCode.BUSY : code, "no attempt is left");
      return;
    }
    if (code == ResultCode.LAGGING) {
      handToPrimary(statement);
    } else {
      enqueue(statement);
    }
  }

  private void onTransactionReply(StatementRun run, EndpointReply reply, long now) {
    PendingStatement statement = run.statement();
    StatementRequest request = statement.request();
    OpenTransaction transaction = transactions.get(request.transaction());
    if (request.operation() == Operation.COMMIT) {
      forget(transaction);
      if (reply.isSuccess()) {
        freeOrClose(run, reply);
      } else {
        run.connection().close();
      }
      statement.finish(commitResult(reply));
      return;
    }
    if (!reply.isSuccess() || reply.state() != TransactionState.OPEN) {
      forget(transaction);
      run.connection().close();
      statement.finish(
          StatementResult.failure(
              reply.code().promisesNothingKept() || reply.isSuccess()
                  ? ResultCode.ABORTED
                  : reply.code(),
              reply.text()));
      return;
    }
    if (transaction == null) {
      transaction =
          new OpenTransaction(
              context.nextTransaction(), statement.caller(), run.pool(), run.connection(), now);
      transactions.put(transaction.handle(), transaction);
    }
    transaction.setRunning(false, now);
    statement.finish(toResult(reply, transaction.handle()));
  }

  private static StatementResult commitResult(EndpointReply reply) {
    if (reply.code().promisesNothingKept()) {
      return StatementResult.failure(ResultCode.ABORTED, reply.text());
    }
    return toResult(reply, StatementRequest.NO_TRANSACTION);
  }

  private void forget(OpenTransaction transaction) {
    if (transaction != null) {
      transactions.remove(transaction.handle());
    }
  }

  @Override
  public void onLost(StatementRun run, EndpointConnection.Loss loss, boolean sent) {
    ended(run);
    PendingStatement statement = run.statement();
    Operation operation = statement.request().operation();
    forget(transactions.get(statement.request().transaction()));
    context.log().log(
        EventKind.REQUEST_MOVED,
        "connection lost",
        "request",
        statement.request().requestId(),
        "endpoint",
        run.pool().entry().id(),
        "loss",
        loss,
        "sent",
        sent);
    if (statement.request().transaction() != StatementRequest.NO_TRANSACTION) {
      refuse(
          statement,
          sent ? operation.resultWhenAnswerIsLost() : ResultCode.ABORTED,
          "connection lost");
    } else if (sent && operation != Operation.READ) {
      refuse(statement, operation.resultWhenAnswerIsLost(), "connection lost");
    } else {
      again(run, ResultCode.BUSY);
    }
    pump();
  }

  @Override
  public void onWrapperEnded(StatementRun run, EndpointReply reply) {
    freeOrClose(run, reply);
    pump();
  }

  private void ended(StatementRun run) {
    running.remove(run);
    run.statement().attemptEnded();
  }

  private void freeOrClose(StatementRun run, EndpointReply reply) {
    if (reply.state() == TransactionState.NONE) {
      run.pool().release(run.connection());
    } else {
      run.connection().close();
    }
  }

  private void rollBack(OpenTransaction transaction) {
    forget(transaction);
    keeper.rollBack(transaction.pool(), transaction.connection());
  }

  /** Repeats what seems lost and ends what has run out of time. */
  public void sweep() {
    long now = context.clock().now();
    boolean active = now - lastActive < context.activeForMilliseconds();
    for (StatementRun run : List.copyOf(running)) {
      sweepRun(run, now);
    }
    expire(primaryQueue, now);
    expire(readQueue, now);
    expirePinned(now);
    for (OpenTransaction transaction : List.copyOf(transactions.values())) {
      boolean idle = !transaction.isRunning();
      if (idle && now - transaction.idleSince() > context.idleTransactionMilliseconds()) {
        rollBack(transaction);
      }
    }
    keeper.sweep(now, active, primaryQueue.size() > 0);
    pump();
  }

  private void expire(WorkQueue<PendingStatement> queue, long now) {
    for (PendingStatement statement :
        queue.removeIf(item -> item.isDone() || now >= item.deadline())) {
      isExpired(statement, now);
    }
  }

  private void expirePinned(long now) {
    for (PendingStatement statement : List.copyOf(pinnedQueue)) {
      OpenTransaction transaction = transactions.get(statement.request().transaction());
      if (transaction != null && now >= statement.deadline()) {
        pinnedQueue.remove(statement);
        rollBack(transaction);
        refuse(statement, ResultCode.ABORTED, "waited too long for a slot");
      }
    }
  }

  private void sweepRun(StatementRun run, long now) {
    PendingStatement statement = run.statement();
    Operation operation = statement.request().operation();
    double usual = run.pool().serviceTimes().high() * LOST_AFTER_HIGH_TIMES;
    long elapsed = now - run.startedAt();
    if (now >= statement.deadline() && !statement.isDone()) {
      refuse(statement, ResultCode.TIMEOUT, "no answer within the route's timeout");
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
    enqueue(statement);
  }

  private void refuse(PendingStatement statement, ResultCode code, String reason) {
    statement.finish(StatementResult.failure(code, reason));
  }

  private static StatementResult toResult(EndpointReply reply, long transaction) {
    return new StatementResult(
        reply.code(), reply.rows(), reply.text(), reply.position(), transaction);
  }

  private static StatementResult success(
      List<String> rows, String signature, Position position, long transaction) {
    return new StatementResult(ResultCode.SUCCESS, rows, signature, position, transaction);
  }

  /** Rolls back the transactions of a VM that is gone. */
  public void onCallerGone(String caller) {
    for (OpenTransaction transaction : List.copyOf(transactions.values())) {
      if (transaction.caller().equals(caller)) {
        forget(transaction);
        transaction.connection().close();
      }
    }
  }

  /** Returns the transactions that are open. */
  public int openTransactions() {
    return transactions.size();
  }

  /** Returns whether nothing waits or runs. */
  public boolean isIdle() {
    return running.isEmpty() && transactions.isEmpty() && primaryQueue.size() == 0;
  }

  /** Returns the endpoints' pools. */
  Collection<EndpointPool> pools() {
    return pools.values();
  }

  /** Closes all connections; what runs fails. */
  public void close() {
    List.copyOf(pools.values()).forEach(EndpointPool::close);
  }
}
