package org.toucanmast.runtime.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.schema.FleetFrame;
import org.toucanmast.schema.StatementCall;

/** Takes the links that other VMs open: runs their statements and answers their pulses. */
final class FleetServer {
  /** A link without any frame for this long is closed, and the peer's transactions end. */
  private static final long SILENT_AFTER_IN_MILLISECONDS = 2_000;

  private final NetServer server;
  private final VmClock clock;
  private final EventLog log;
  private final FleetHost host;
  private final Set<Inbound> links = new HashSet<>();

  FleetServer(NetServer server, VmClock clock, EventLog log, FleetHost host) {
    this.server = server;
    this.clock = clock;
    this.log = log;
    this.host = host;
  }

  Future<?> start(String address, int port) {
    return server.connectHandler(socket -> links.add(new Inbound(socket))).listen(port, address);
  }

  /** Closes links that are silent. */
  void tick(long now, long paused) {
    List<Inbound> silent = new ArrayList<>();
    for (Inbound link : links) {
      link.lastHeard += paused;
      if (now - link.lastHeard > SILENT_AFTER_IN_MILLISECONDS) {
        silent.add(link);
      }
    }
    silent.forEach(link -> link.end("silent"));
  }

  private final class Inbound {
    private final NetSocket socket;
    private final FrameReader reader = new FrameReader();
    private String vm;
    private long lastHeard = clock.now();

    private Inbound(NetSocket socket) {
      this.socket = socket;
      socket.handler(this::onBytes);
      socket.closeHandler(done -> end("closed"));
      socket.exceptionHandler(error -> end("failed"));
    }

    private void onBytes(Buffer bytes) {
      lastHeard = clock.now();
      try {
        for (FleetFrame frame : reader.feed(bytes)) {
          onFrame(frame);
        }
      } catch (InvalidProtocolBufferException e) {
        end("broken frame");
      }
    }

    private void onFrame(FleetFrame frame) {
      if (frame.hasHello()) {
        vm = frame.getHello().getVm();
        return;
      }
      if (vm == null) {
        end("no hello");
        return;
      }
      switch (frame.getBodyCase()) {
        case CALL -> onCall(frame.getCall());
        case PULSE -> {
          host.onPulse(vm, frame.getPulse());
          send(FleetFrame.newBuilder().setPulse(host.pulseFor(vm)).build());
        }
        case TOKEN_ASK ->
            send(FleetFrame.newBuilder().setTokenGrant(host.onAsk(frame.getTokenAsk())).build());
        case TOKEN_RETURN -> host.onReturn(frame.getTokenReturn());
        case MIRROR_PULL ->
            send(
                FleetFrame.newBuilder()
                    .setMirrorPush(host.mirror(frame.getMirrorPull().getKind()))
                    .build());
        default -> end("unexpected frame");
      }
    }

    private void onCall(StatementCall call) {
      host.execute(
          StatementMessages.toRequest(call),
          vm,
          result ->
              send(
                  FleetFrame.newBuilder()
                      .setAnswer(StatementMessages.toAnswer(call.getCallId(), result))
                      .build()));
    }

    private void send(FleetFrame frame) {
      if (links.contains(this)) {
        socket.write(FrameReader.encode(frame));
      }
    }

    private void end(String reason) {
      if (!links.remove(this)) {
        return;
      }
      socket.close();
      log.log(
          EventKind.MEMBERSHIP,
          "incoming link lost",
          "peer",
          vm == null ? "unknown" : vm,
          "reason",
          reason);
      boolean another = links.stream().anyMatch(link -> vm != null && vm.equals(link.vm));
      if (vm != null && !another) {
        host.onCallerGone(vm);
      }
    }
  }
}
