package org.toucanmast.runtime.session;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.fleet.FleetHost;
import org.toucanmast.runtime.fleet.FleetLink;
import org.toucanmast.runtime.fleet.FleetLinks;

/** Sends statements to the gateway of their group, on this VM or another. */
final class StatementSender {
  /** The most gateways that a read is sent to. */
  private static final int MOST_GATEWAYS = 3;

  /**
   * Where a transaction is open.
   *
   * @param link the link to its gateway; empty when that is this VM
   */
  record Place(Optional<FleetLink> link) {}

  private final String vm;
  private final FleetHost host;
  private final FleetLinks links;
  private final GatewayRouter router;
  private final VmClock clock;
  private final EventLog log;

  StatementSender(
      String vm,
      FleetHost host,
      FleetLinks links,
      GatewayRouter router,
      VmClock clock,
      EventLog log) {
    this.vm = vm;
    this.host = host;
    this.links = links;
    this.router = router;
    this.clock = clock;
    this.log = log;
  }

  /** Sends a statement that continues no transaction; the consumer is called once. */
  void send(StatementRequest request, BiConsumer<StatementResult, Place> consumer) {
    long deadline = clock.now() + request.remainingInMilliseconds();
    attempt(request, deadline, 0, consumer);
  }

  private void attempt(
      StatementRequest request,
      long deadline,
      int attempt,
      BiConsumer<StatementResult, Place> consumer) {
    long remaining = deadline - clock.now();
    if (remaining <= 0 || attempt >= MOST_GATEWAYS) {
      consumer.accept(StatementResult.failure(ResultCode.BUSY, "no gateway answered"), here());
      return;
    }
    Place place = choose(request.group());
    sendTo(
        place,
        request.withRemaining(remaining),
        result -> consumer.accept(result, place),
        () -> onLost(request, deadline, attempt, consumer));
  }

  private void onLost(
      StatementRequest request,
      long deadline,
      int attempt,
      BiConsumer<StatementResult, Place> consumer) {
    log.log(
        EventKind.REQUEST_MOVED,
        "gateway lost",
        "request",
        request.requestId(),
        "group",
        request.group(),
        "attempt",
        attempt);
    if (request.operation() == Operation.READ) {
      attempt(request, deadline, attempt + 1, consumer);
    } else {
      consumer.accept(
          StatementResult.failure(request.operation().resultWhenAnswerIsLost(), "gateway lost"),
          here());
    }
  }

  private Place choose(String group) {
    for (String candidate : router.rank(group)) {
      if (candidate.equals(vm)) {
        return here();
      }
      Optional<FleetLink> link = links.alive(candidate);
      if (link.isPresent()) {
        return new Place(link);
      }
    }
    return here();
  }

  private static Place here() {
    return new Place(Optional.empty());
  }

  /** Sends a statement of an open transaction to where that is open. */
  void sendInTransaction(
      Place place, StatementRequest request, BiConsumer<StatementResult, Place> consumer) {
    sendTo(
        place,
        request,
        result -> consumer.accept(result, place),
        () ->
            consumer.accept(
                StatementResult.failure(
                    request.operation().resultWhenAnswerIsLost(), "gateway lost"),
                place));
  }

  private void sendTo(
      Place place, StatementRequest request, Consumer<StatementResult> onResult, Runnable onLost) {
    if (place.link().isEmpty()) {
      host.execute(request, vm, onResult);
      return;
    }
    place
        .link()
        .get()
        .call(
            request,
            new FleetLink.CallHandler() {
              @Override
              public void onResult(StatementResult result) {
                onResult.accept(result);
              }

              @Override
              public void onLost() {
                onLost.run();
              }
            });
  }
}
