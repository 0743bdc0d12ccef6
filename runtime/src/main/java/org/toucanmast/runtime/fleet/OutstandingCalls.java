package org.toucanmast.runtime.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.schema.FleetFrame;

/** The statements that were sent over a link, or wait for its connection, and have no answer. */
final class OutstandingCalls {
  /**
   * Gateways answer by the deadline of a statement; without an answer this long after it, it is
   * lost.
   */
  private static final long OVERDUE_ANSWER_TOLERANCE_IN_MILLISECONDS = 1_000;

  /**
   * A statement that was sent and not answered.
   *
   * @param overdueAt when its answer is given up, on the steady clock in milliseconds
   */
  private record Call(StatementRequest request, FleetLink.CallHandler handler, long overdueAt) {}

  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private long lastCallId;

  /** Adds a statement that is sent now, and returns the id of its call. */
  long add(StatementRequest request, FleetLink.CallHandler handler, long now) {
    lastCallId++;
    long deadline = now + request.remainingInMilliseconds();
    long overdueAt = deadline + OVERDUE_ANSWER_TOLERANCE_IN_MILLISECONDS;
    calls.put(lastCallId, new Call(request, handler, overdueAt));
    return lastCallId;
  }

  /** Removes a call and returns its handler; empty if it has had an outcome. */
  Optional<FleetLink.CallHandler> remove(long callId) {
    return Optional.ofNullable(calls.remove(callId)).map(Call::handler);
  }

  /** Removes the calls of frames that were not sent, and returns their handlers. */
  List<FleetLink.CallHandler> removeAll(List<FleetFrame> unsent) {
    return unsent.stream()
        .filter(FleetFrame::hasCall)
        .flatMap(frame -> remove(frame.getCall().getCallId()).stream())
        .toList();
  }

  boolean isEmpty() {
    return calls.isEmpty();
  }

  int size() {
    return calls.size();
  }

  /** Reports the reads as lost, which may be repeated elsewhere. */
  void loseReads() {
    loseIf(call -> call.request().operation() == Operation.READ);
  }

  /** Reports the statements as lost whose answer should have come long ago. */
  void loseOverdue(long now) {
    loseIf(call -> now > call.overdueAt());
  }

  /** Reports all statements as lost. */
  void loseAll() {
    loseIf(call -> true);
  }

  private void loseIf(Predicate<Call> condition) {
    List<Map.Entry<Long, Call>> lost =
        calls.entrySet().stream().filter(entry -> condition.test(entry.getValue())).toList();
    List<Call> handlers = lost.stream().map(Map.Entry::getValue).toList();
    lost.stream().map(Map.Entry::getKey).toList().forEach(calls::remove);
    handlers.forEach(call -> call.handler().onLost());
  }
}
