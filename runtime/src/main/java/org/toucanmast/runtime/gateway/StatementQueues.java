package org.toucanmast.runtime.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.toucanmast.core.gateway.Admission;
import org.toucanmast.core.gateway.WorkQueue;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;

/**
 * The statements that wait at a gateway: one queue for those that need the primary, one for those
 * that any endpoint may serve.
 */
final class StatementQueues {
  private final GatewayContext context;
  private final Map<String, EndpointPool> pools;
  private final PrimaryMonitor primaryMonitor;
  private final WorkQueue<PendingStatement> primaryQueue = new WorkQueue<>();
  private final WorkQueue<PendingStatement> readQueue = new WorkQueue<>();
  private Optional<PendingStatement> currentRead = Optional.empty();
  private Optional<ObjectiveScheduler> scheduler = Optional.empty();

  StatementQueues(
      GatewayContext context, Map<String, EndpointPool> pools, PrimaryMonitor primaryMonitor) {
    this.context = context;
    this.pools = pools;
    this.primaryMonitor = primaryMonitor;
  }

  /** Lets a scheduler by objectives hold all statements, in place of the two queues. */
  void setScheduler(Optional<ObjectiveScheduler> newScheduler) {
    scheduler = newScheduler;
  }

  /** Adds a statement that has arrived, or refuses it if it is not expected to run in time. */
  void offer(PendingStatement statement) {
    if (scheduler.isPresent()) {
      scheduler.get().offer(statement, context.clock().now());
    } else if (admits(statement)) {
      add(statement);
    } else {
      statement.fail(ResultCode.BUSY, "expected wait exceeds the time left");
    }
  }

  private WorkQueue<PendingStatement> queueOf(PendingStatement statement) {
    return statement.needsPrimary() ? primaryQueue : readQueue;
  }

  /** Returns whether a statement is expected to run in time if it waits. */
  boolean admits(PendingStatement statement) {
    long now = context.clock().now();
    int slots = 0;
    int startablePools = 0;
    int eligiblePools = 0;
    double totalServiceMilliseconds = 0;
    for (EndpointPool pool : pools.values()) {
      if (mayServe(pool, statement)) {
        slots += pool.usableSlots(now);
        startablePools += pool.canStart(now) ? 1 : 0;
        totalServiceMilliseconds += pool.serviceTimes().mean();
        eligiblePools++;
      }
    }
    double meanServiceMilliseconds = totalServiceMilliseconds / Math.max(1, eligiblePools);
    double waitMilliseconds =
        expectedWait(statement, Math.max(1, slots), startablePools, meanServiceMilliseconds);
    if (statement.needsPrimary()) {
      waitMilliseconds = Math.max(waitMilliseconds, primaryMonitor.expectedOutageMilliseconds(now));
    }
    return Admission.admits(waitMilliseconds, meanServiceMilliseconds, statement.deadline() - now);
  }

  private boolean mayServe(EndpointPool pool, PendingStatement statement) {
    boolean isPrimary = primaryMonitor.isPrimary(pool.entry().id());
    return isPrimary || pool.acceptsWork() && !statement.needsPrimary();
  }

  private double expectedWait(
      PendingStatement statement, int slots, int startablePools, double meanServiceMilliseconds) {
    StatementRequest request = statement.request();
    WorkQueue<PendingStatement> queue = queueOf(statement);
    int ahead = queue.aheadOf(request.priority(), request.customer());
    return Admission.expectedWait(
        Admission.expectedWait(ahead, slots, startablePools, meanServiceMilliseconds),
        queue.backlogMilliseconds(request.priority(), request.customer()));
  }

  /**
   * Adds a statement to its queue, or fails it if too many statements of its customer are waiting.
   * A scheduler puts it back at its former place.
   */
  void add(PendingStatement statement) {
    if (scheduler.isPresent()) {
      scheduler.get().restore(statement, context.clock().now());
      return;
    }
    StatementRequest request = statement.request();
    boolean added = queueOf(statement).offer(request.priority(), request.customer(), statement);
    if (!added) {
      statement.fail(ResultCode.BUSY, "too many statements of this customer wait");
    }
  }

  /** Removes and returns the next statement that needs the primary. */
  Optional<PendingStatement> nextForPrimary(long now) {
    return primaryQueue.poll(now);
  }

  /**
   * Returns the read that is placed next. It is the same one until it is removed, so that reads
   * that no endpoint can serve now keep their turn.
   */
  Optional<PendingStatement> currentRead(long now) {
    if (currentRead.isEmpty()) {
      currentRead = readQueue.poll(now);
    }
    return currentRead;
  }

  void removeCurrentRead() {
    currentRead = Optional.empty();
  }

  /** Returns the number of waiting statements. */
  int size() {
    int current = currentRead.isPresent() ? 1 : 0;
    return scheduler
        .map(ObjectiveScheduler::size)
        .orElse(primaryQueue.size() + readQueue.size() + current);
  }

  boolean hasStatementsForPrimary() {
    return scheduler.map(ObjectiveScheduler::waitingForPrimary).orElse(primaryQueue.size()) > 0;
  }

  boolean hasReads() {
    return currentRead.isPresent() || readQueue.size() > 0;
  }

  /** Removes and returns the statements that are done or whose deadline has passed. */
  List<PendingStatement> removeExpired(long now) {
    return removeIf(statement -> statement.isDone() || now >= statement.deadline());
  }

  /** Fails the waiting statements that match the condition; they have not run. */
  void failIf(Predicate<PendingStatement> condition, String reason) {
    removeIf(condition).forEach(statement -> statement.fail(ResultCode.BUSY, reason));
  }

  /** Removes and returns the waiting statements that match the condition. */
  List<PendingStatement> removeIf(Predicate<PendingStatement> condition) {
    if (scheduler.isPresent()) {
      return scheduler.get().removeIf(condition);
    }
    List<PendingStatement> removed = primaryQueue.removeIf(condition);
    removed.addAll(readQueue.removeIf(condition));
    currentRead.filter(condition).ifPresent(removed::add);
    currentRead = currentRead.filter(condition.negate());
    return removed;
  }
}
