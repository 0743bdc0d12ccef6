package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.statement.StatementRequest;

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

  /** Returns the transactions that have been idle for longer than the given time. */
  List<OpenTransaction> idleFor(long milliseconds, long now) {
    return byHandle.values().stream()
        .filter(
            transaction -> !transaction.isRunning() && now - transaction.idleSince() > milliseconds)
        .toList();
  }

  /** Returns the transactions whose statements come from the given VM. */
  List<OpenTransaction> ofOriginVm(String originVm) {
    return byHandle.values().stream()
        .filter(transaction -> transaction.originVm().equals(originVm))
        .toList();
  }

  int size() {
    return byHandle.size();
  }
}
