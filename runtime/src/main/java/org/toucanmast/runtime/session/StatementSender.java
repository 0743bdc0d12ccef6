package org.toucanmast.runtime.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.gateway.NearbyBackoff;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.fleet.FleetLink;
import org.toucanmast.runtime.fleet.FleetLinks;
import org.toucanmast.runtime.fleet.FleetMessageHandler;

/** Sends statements to the gateway of their group, on this VM or on a peer. */
final class StatementSender {
  /** Maximum number of attempts to send a statement to a gateway. */
  private static final int MAXIMUM_ATTEMPTS = 4;

  /**
   * The location of a gateway.
   *
   * @param link the link to the gateway's VM; empty if the gateway is on this VM
   */
  record GatewayLocation(Optional<FleetLink> link) {}

  private final VmRun localRun;
  private final FleetMessageHandler localHandler;
  private final FleetLinks links;
  private final GatewayRouter router;
  private final boolean readsNearby;
  private final Map<String, NearbyBackoff> backoffsByGroup = new HashMap<>();
  private final Predicate<KeyClaim<KeyFingerprint>> isHeld;
  private final VmClock clock;
  private final EventLog log;

  /**
   * Creates a sender.
   *
   * @param isHeld whether the customer of a statement still holds the key
   * @param localRun this run of this VM
   * @param readsNearby whether reads go to a gateway in this VM's data centre first
   */
  StatementSender(
      VmRun localRun,
      FleetMessageHandler localHandler,
      FleetLinks links,
      GatewayRouter router,
      boolean readsNearby,
      Predicate<KeyClaim<KeyFingerprint>> isHeld,
      VmClock clock,
      EventLog log) {
    this.localRun = localRun;
    this.localHandler = localHandler;
    this.links = links;
    this.router = router;
    this.readsNearby = readsNearby;
    this.isHeld = isHeld;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Sends a statement that does not belong to a transaction that is open at a gateway.
   *
   * @param consumer called once with the result and the location of the gateway that gave it
   */
  void send(StatementRequest request, BiConsumer<StatementResult, GatewayLocation> consumer) {
    long deadline = clock.now() + request.remainingInMilliseconds();
    Optional<GatewayLocation> nearby = nearbyGateway(request);
    if (nearby.isPresent()) {
      sendNearby(request, deadline, nearby.get(), consumer);
    } else {
      attempt(request, deadline, 0, consumer);
    }
  }

  /**
   * Returns the gateway in this VM's data centre for a read that a replica may serve; empty if the
   * group's gateway is the nearest one.
   */
  private Optional<GatewayLocation> nearbyGateway(StatementRequest request) {
    if (!readsNearby || request.needsPrimary() || !backoff(request.group()).mayTry(clock.now())) {
      return Optional.empty();
    }
    Optional<String> vm =
        router.nearby(request.group()).filter(nearby -> !router.isFirst(request.group(), nearby));
    if (vm.isEmpty()) {
      return Optional.empty();
    }
    return vm.get().equals(localRun.vm())
        ? Optional.of(localGateway())
        : links.availableLink(vm.get()).map(link -> new GatewayLocation(Optional.of(link)));
  }

  private NearbyBackoff backoff(String group) {
    return backoffsByGroup.computeIfAbsent(group, any -> new NearbyBackoff());
  }

  private void sendNearby(
      StatementRequest request,
      long deadline,
      GatewayLocation location,
      BiConsumer<StatementResult, GatewayLocation> consumer) {
    long sentAt = clock.now();
    sendTo(
        location,
        request.forNearbyGateway(request.remainingInMilliseconds()),
        result -> {
          if (result.code() == ResultCode.NOT_NEARBY) {
            backoff(request.group()).onPassedOn(sentAt, clock.now());
            attempt(request, deadline, 0, consumer);
          } else {
            backoff(request.group()).onServed();
            consumer.accept(result, location);
          }
        },
        () -> onGatewayLost(request, deadline, 0, consumer),
        () -> attempt(request, deadline, 0, consumer));
  }

  private void attempt(
      StatementRequest request,
      long deadline,
      int attempt,
      BiConsumer<StatementResult, GatewayLocation> consumer) {
    long remaining = deadline - clock.now();
    if (remaining <= 0 || attempt >= MAXIMUM_ATTEMPTS) {
      consumer.accept(
          StatementResult.failure(ResultCode.BUSY, "no gateway answered"), localGateway());
      return;
    }
    if (!isHeld.test(request.claim())) {
      consumer.accept(StatementResult.failure(ResultCode.BUSY, KeyClaim.NOT_HELD), localGateway());
      return;
    }
    GatewayLocation location = chooseGateway(request.group());
    sendTo(
        location,
        request.forGateway(remaining),
        result -> consumer.accept(result, location),
        () -> onGatewayLost(request, deadline, attempt, consumer),
        () -> attempt(request, deadline, attempt + 1, consumer));
  }

  private void onGatewayLost(
      StatementRequest request,
      long deadline,
      int attempt,
      BiConsumer<StatementResult, GatewayLocation> consumer) {
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
          localGateway());
    }
  }

  private GatewayLocation chooseGateway(String group) {
    for (String candidate : router.rank(group)) {
      if (candidate.equals(localRun.vm())) {
        return localGateway();
      }
      Optional<FleetLink> link = links.availableLink(candidate);
      if (link.isPresent()) {
        return new GatewayLocation(link);
      }
    }
    return localGateway();
  }

  private static GatewayLocation localGateway() {
    return new GatewayLocation(Optional.empty());
  }

  /**
   * Sends a statement to the gateway at which its transaction is open.
   *
   * @param consumer called once with the result and the given location
   */
  void sendInTransaction(
      GatewayLocation location,
      StatementRequest request,
      BiConsumer<StatementResult, GatewayLocation> consumer) {
    sendTo(
        location,
        request,
        result -> consumer.accept(result, location),
        () ->
            consumer.accept(
                StatementResult.failure(
                    request.operation().resultWhenAnswerIsLost(), "gateway lost"),
                location),
        () ->
            consumer.accept(
                StatementResult.failure(
                    ResultCode.ABORTED, "gateway lost before the statement was sent"),
                location));
  }

  /** Rolls back a transaction of a statement's session that is open at a gateway. */
  void rollBack(GatewayLocation location, StatementRequest request, long transaction) {
    sendInTransaction(location, request.rollbackOf(transaction), (result, at) -> {});
  }

  private void sendTo(
      GatewayLocation location,
      StatementRequest request,
      Consumer<StatementResult> onResult,
      Runnable onLost,
      Runnable onNotSent) {
    if (location.link().isEmpty()) {
      localHandler.execute(request, localRun, onResult);
      return;
    }
    location
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

              @Override
              public void onNotSent() {
                onNotSent.run();
              }
            });
  }
}
