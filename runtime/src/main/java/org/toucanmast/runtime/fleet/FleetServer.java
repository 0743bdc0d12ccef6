package org.toucanmast.runtime.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.link.LocalHealth;
import org.toucanmast.core.link.OutputBudget;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.schema.FleetFrame;
import org.toucanmast.schema.StatementCall;

/** Accepts the links that peers open: runs their statements and answers their heartbeats. */
final class FleetServer {
  /** A link that receives no bytes for this long is closed, and its VM's transactions end. */
  private static final long SILENCE_TIMEOUT_IN_MILLISECONDS = 2_000;

  private final NetServer server;
  private final VmClock clock;
  private final EventLog log;
  private final FleetMessageHandler handler;
  private final LocalHealth localHealth;
  private final OutputBudget budget;
  private final Set<IncomingLink> links = new HashSet<>();

  FleetServer(
      NetServer server,
      VmClock clock,
      EventLog log,
      FleetMessageHandler handler,
      LocalHealth localHealth,
      OutputBudget budget) {
    this.localHealth = localHealth;
    this.budget = budget;
    this.server = server;
    this.clock = clock;
    this.log = log;
    this.handler = handler;
  }

  Future<?> start(String address, int port) {
    return server
        .connectHandler(socket -> links.add(new IncomingLink(socket)))
        .listen(port, address);
  }

  /**
   * Closes links on which nothing was received within the silence timeout.
   *
   * @param now the current monotonic time, in milliseconds
   * @param pauseInMilliseconds how long this VM itself was suspended, which does not count as
   *     silence
   */
  void closeSilentLinks(long now, long pauseInMilliseconds) {
    long timeout = localHealth.extended(SILENCE_TIMEOUT_IN_MILLISECONDS, now);
    List<IncomingLink> silent = new ArrayList<>();
    for (IncomingLink link : links) {
      link.lastReceivedAt += pauseInMilliseconds;
      if (now - link.lastReceivedAt > timeout) {
        silent.add(link);
      }
    }
    silent.forEach(link -> link.close("silent"));
  }

  /** Sends a heartbeat over the link that a VM has opened, if there is one. */
  void sendHeartbeat(String vm) {
    linkOf(vm)
        .ifPresent(
            link -> link.send(FleetFrame.newBuilder().setPulse(handler.heartbeatFor(vm)).build()));
  }

  /** Sends a heartbeat to each VM that has opened a link. */
  void sendHeartbeats() {
    links.stream()
        .map(link -> link.run)
        .filter(Objects::nonNull)
        .map(VmRun::vm)
        .distinct()
        .toList()
        .forEach(this::sendHeartbeat);
  }

  /** Sends a frame over the link that a VM has opened, if there is one. */
  void send(String vm, FleetFrame frame) {
    linkOf(vm).ifPresent(link -> link.send(frame));
  }

  /** Completes when everything that was written to peers has been sent. */
  Future<Void> answersSent() {
    return Future.join(links.stream().map(link -> link.output.lastWrite()).toList()).mapEmpty();
  }

  private Optional<IncomingLink> linkOf(String vm) {
    return links.stream().filter(link -> link.run != null && vm.equals(link.run.vm())).findFirst();
  }

  private final class IncomingLink {
    private final NetSocket socket;
    private final FrameReader reader = new FrameReader();
    private final LinkOutput output;
    private VmRun run;
    private long lastReceivedAt = clock.now();

    private IncomingLink(NetSocket socket) {
      this.socket = socket;
      this.output = new LinkOutput(socket, budget, log);
      socket.handler(this::onBytes);
      socket.closeHandler(done -> close("closed"));
      socket.exceptionHandler(error -> close("failed"));
    }

    private void onBytes(Buffer bytes) {
      lastReceivedAt = clock.now();
      try {
        for (FleetFrame frame : reader.feed(bytes)) {
          onFrame(frame);
        }
      } catch (InvalidProtocolBufferException e) {
        close("invalid frame");
      }
    }

    private void onFrame(FleetFrame frame) {
      if (frame.hasHello()) {
        run = new VmRun(frame.getHello().getVm(), frame.getHello().getIncarnation());
        return;
      }
      if (run == null) {
        close("first frame is not a hello");
        return;
      }
      String peer = run.vm();
      switch (frame.getBodyCase()) {
        case CALL -> onCall(frame.getCall());
        case PULSE -> {
          handler.onHeartbeat(peer, frame.getPulse());
          send(FleetFrame.newBuilder().setPulse(handler.heartbeatFor(peer)).build());
        }
        case TOKEN_ASK ->
            send(
                FleetFrame.newBuilder()
                    .setTokenGrant(handler.onTokenRequest(frame.getTokenAsk()))
                    .build());
        case TOKEN_RETURN -> handler.onTokenReturn(frame.getTokenReturn());
        case USAGE_TOTALS ->
            handler
                .usage()
                .map(usage -> usage.onUsageTotals(frame.getUsageTotals()))
                .filter(receipt -> receipt.getWindowsCount() > 0)
                .ifPresent(
                    receipt -> send(FleetFrame.newBuilder().setUsageReceipt(receipt).build()));
        case MIRROR_PULL -> output.writeMirror(handler.mirrorContent(frame.getMirrorPull()));
        case MIRROR_PUSH -> handler.onMirrorContent(peer, frame.getMirrorPush());
        default -> close("unexpected frame");
      }
    }

    private void onCall(StatementCall call) {
      StatementRequest request = StatementMessages.toRequest(call);
      VmRun origin = run;
      handler.execute(
          request,
          origin,
          result -> {
            FleetFrame answer = output.answer(call.getCallId(), request, result);
            send(answer);
            if (result.transaction() != answer.getAnswer().getTransaction()) {
              // The sender takes the transaction for failed, and does not roll it back.
              handler.execute(request.rollbackOf(result.transaction()), origin, rolledBack -> {});
            }
          });
    }

    private void send(FleetFrame frame) {
      if (links.contains(this)) {
        output.write(frame);
      }
    }

    private void close(String reason) {
      if (!links.remove(this)) {
        return;
      }
      socket.close();
      log.log(
          EventKind.MEMBERSHIP,
          "incoming link lost",
          "peer",
          run == null ? "unknown" : run.vm(),
          "reason",
          reason);
      // A VM that was restarted may have links of its next run already, which keep nothing open.
      if (run != null && links.stream().noneMatch(link -> run.equals(link.run))) {
        handler.onOriginLost(run);
      }
    }
  }
}
