package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.statement.StatementRequest;

/** The transactions that are open at a gateway, and their statements that wait for a slot. */
final class OpenTransactions {
  private final Map<Long, OpenTransaction> byHandle = new HashMap<>();
  private final List<PendingStatement> waiting = new ArrayList<>();

  /** Returns the transaction that a statement belongs to, if it is open here. */
  Optional<OpenTransaction> of(StatementRequest request) {
    return Optional.ofNullable(byHandle.get(request.transaction()));
  }

  void add(OpenTransaction transaction) {
    byHandle.put(transaction.handle(), transaction);
  }

  void remove(OpenTransaction transaction) {
    byHandle.remove(transaction.handle());
  }

  /** Lets a statement wait until its transaction's endpoint has a slot. */
  void await(PendingStatement statement) {
    waiting.add(statement);
  }

  /** Returns the statements that wait, in order. */
  List<PendingStatement> waiting() {
    return List.copyOf(waiting);
  }

  void noLongerWaiting(PendingStatement statement) {
    waiting.remove(statement);
  }

  /** Returns the transactions in which nothing has run for longer than the given time. */
  List<OpenTransaction> idleFor(long milliseconds, long now) {
    return byHandle.values().stream()
        .filter(item -> !item.isRunning() && now - item.idleSince() > milliseconds)
        .toList();
  }

  /** Returns the transactions of a VM's callers. */
  List<OpenTransaction> ofCaller(String caller) {
    return byHandle.values().stream().filter(item -> item.caller().equals(caller)).toList();
  }

  int size() {
    return byHandle.size();
  }
}
