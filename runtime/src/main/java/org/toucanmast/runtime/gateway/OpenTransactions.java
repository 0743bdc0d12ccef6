package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;

/** The open transactions of a gateway, and their statements that wait for a slot. */
final class OpenTransactions {
  private final Map<Long, OpenTransaction> byHandle = new HashMap<>();
  private final List<PendingStatement> waitingStatements = new ArrayList<>();

  /** Returns the transaction that a statement belongs to, if it is open at this gateway. */
  Optional<OpenTransaction> find(StatementRequest request) {
    return Optional.ofNullable(byHandle.get(request.transaction()));
  }

  void add(OpenTransaction transaction) {
    byHandle.put(transaction.handle(), transaction);
  }

  void remove(OpenTransaction transaction) {
    byHandle.remove(transaction.handle());
  }

  /** Adds a statement that waits for a slot at its transaction's endpoint. */
  void addWaiting(PendingStatement statement) {
    waitingStatements.add(statement);
  }

  /** Returns the waiting statements in the order of their arrival. */
  List<PendingStatement> waitingStatements() {
    return List.copyOf(waitingStatements);
  }

  void removeWaiting(PendingStatement statement) {
    waitingStatements.remove(statement);
  }

  /** Fails the matching statements that wait for a slot; their transactions will be rolled back. */
  void failWaitingIf(Predicate<PendingStatement> condition, String reason) {
    List<PendingStatement> waiting = waitingStatements().stream().filter(condition).toList();
    waitingStatements.removeAll(waiting);
    waiting.forEach(statement -> statement.fail(ResultCode.ABORTED, reason));
  }

  /** Returns the transactions of which no statement is running. */
  List<OpenTransaction> idle() {
    return byHandle.values().stream().filter(transaction -> !transaction.isRunning()).toList();
  }

  /** Returns the transactions that have been idle for longer than the given time. */
  List<OpenTransaction> idleFor(long milliseconds, long now) {
    return idle().stream()
        .filter(transaction -> now - transaction.idleSince() > milliseconds)
        .toList();
  }

  /** Closes the connections of the transactions whose statements come from the given VM's run. */
  void closeThoseOf(VmRun origin, EventLog log) {
    List<OpenTransaction> ofOrigin =
        byHandle.values().stream()
            .filter(transaction -> transaction.origin().equals(origin))
            .toList();
    for (OpenTransaction transaction : ofOrigin) {
      log.log(
          EventKind.REQUEST_AT_GATEWAY,
          "transaction dropped with its VM",
          "group",
          transaction.pool().entry().group(),
          "from",
          origin.vm(),
          "endpoint",
          transaction.pool().entry().id(),
          "running",
          transaction.isRunning());
      remove(transaction);
      transaction.connection().close();
    }
  }

  /** Forgets all transactions, whose connections are closed. */
  void clear() {
    byHandle.clear();
  }

  int size() {
    return byHandle.size();
  }
}
