package org.toucanmast.runtime.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.schema.FleetFrame;
import org.toucanmast.schema.FleetHello;
import org.toucanmast.schema.MirrorPull;
import org.toucanmast.schema.TokenAsk;
import org.toucanmast.schema.TokenReturn;

/** The link that this VM opened to another: statements go out, answers come back. */
public final class FleetLink {
  /** A link that was silent for this long is not given new statements; two lost pulses. */
  static final long SUSPECT_AFTER_IN_MILLISECONDS = 350;

  /** A link that was silent for this long is closed; a short pause of the peer is shorter. */
  static final long DEAD_AFTER_IN_MILLISECONDS = 1_200;

  /** Pause between attempts to open the link. */
  private static final long REDIAL_AFTER_IN_MILLISECONDS = 250;

  /** What became of a statement that was sent over the link. */
  public interface CallHandler {
    /** The answer came. */
    void onResult(StatementResult result);

    /** No answer will come; the statement may have run. */
    void onLost();
  }

  private record Call(StatementRequest request, CallHandler handler) {
    private boolean mayBeRepeated() {
      return request.operation() == Operation.READ;
    }
  }

  private final NetClient client;
  private final VmClock clock;
  private final EventLog log;
  private final FleetHost host;
  private final FleetHello hello;
  private final FleetMember member;
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private FrameReader reader = new FrameReader();
  private NetSocket socket;
  private boolean dialling;
  private boolean closed;
  private boolean leaving;
  private boolean failed;
  private boolean unreached;
  private boolean wasAlive;
  private long dialledAt = Long.MIN_VALUE;
  private long lastHeard = Long.MIN_VALUE;
  private long lastCall;

  FleetLink(
      NetClient client,
      VmClock clock,
      EventLog log,
      FleetHost host,
      FleetHello hello,
      FleetMember member) {
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.host = host;
    this.hello = hello;
    this.member = member;
  }

  FleetMember member() {
    return member;
  }

  /** Returns whether the peer answers and takes new statements. */
  boolean isAlive(long now) {
    return socket != null && !leaving && now - lastHeard <= SUSPECT_AFTER_IN_MILLISECONDS;
  }

  /** Sends a statement. */
  public void call(StatementRequest request, CallHandler handler) {
    if (socket == null) {
      handler.onLost();
      return;
    }
    lastCall++;
    calls.put(lastCall, new Call(request, handler));
    send(FleetFrame.newBuilder().setCall(StatementMessages.toCall(lastCall, request)).build());
  }

  /** Asks the peer for what it knows of a kind of the store's objects. */
  void pull(String kind) {
    send(FleetFrame.newBuilder().setMirrorPull(MirrorPull.newBuilder().setKind(kind)).build());
  }

  /** Asks the peer for tokens. */
  void ask(TokenAsk ask) {
    send(FleetFrame.newBuilder().setTokenAsk(ask).build());
  }

  /** Gives tokens back. */
  void giveBack(TokenReturn unused) {
    send(FleetFrame.newBuilder().setTokenReturn(unused).build());
  }

  /** Returns whether the peer answered, or the first attempt to reach it failed. */
  boolean isDecided() {
    return wasAlive || failed;
  }

  private void send(FleetFrame frame) {
    if (socket != null) {
      socket.write(FrameReader.encode(frame));
    }
  }

  /**
   * Sends a pulse, opens the link when it is down, and gives up what is silent.
   *
   * @param paused how long this VM itself stood still; peers are not blamed for that time
   */
  void tick(long now, long paused) {
    if (closed) {
      return;
    }
    lastHeard = paused > 0 && lastHeard != Long.MIN_VALUE ? lastHeard + paused : lastHeard;
    if (socket == null) {
      dial(now);
    } else {
      send(FleetFrame.newBuilder().setPulse(host.pulseFor(member.name())).build());
      if (now - lastHeard > DEAD_AFTER_IN_MILLISECONDS) {
        drop("silent");
      } else if (now - lastHeard > SUSPECT_AFTER_IN_MILLISECONDS) {
        loseCalls(true);
      }
    }
    noteAlive(now);
  }

  private void noteAlive(long now) {
    boolean alive = isAlive(now);
    if (alive != wasAlive) {
      wasAlive = alive;
      log.log(
          EventKind.MEMBERSHIP,
          alive ? "peer reachable" : "peer unreachable",
          "peer",
          member.name(),
          "leaving",
          leaving);
      host.onReachabilityChanged();
    }
  }

  /**
   * Only the first failure of a row is logged; attempts go on for as long as the peer is listed.
   */
  private void noteUnreached(Throwable error) {
    if (!unreached) {
      log.log(
          EventKind.MEMBERSHIP,
          "peer not reached",
          "peer",
          member.name(),
          "reason",
          String.valueOf(error.getMessage()));
    }
    unreached = true;
    failed = true;
  }

  private void dial(long now) {
    if (dialling || dialledAt != Long.MIN_VALUE && now - dialledAt < REDIAL_AFTER_IN_MILLISECONDS) {
      return;
    }
    dialling = true;
    dialledAt = now;
    client
        .connect(member.port(), member.host())
        .onSuccess(this::onConnected)
        .onFailure(
            error -> {
              dialling = false;
              noteUnreached(error);
            });
  }

  private void onConnected(NetSocket connected) {
    dialling = false;
    if (closed) {
      connected.close();
      return;
    }
    unreached = false;
    socket = connected;
    reader = new FrameReader();
    lastHeard = clock.now();
    socket.handler(bytes -> onBytes(connected, bytes));
    socket.closeHandler(done -> onClosed(connected));
    socket.exceptionHandler(error -> onClosed(connected));
    send(FleetFrame.newBuilder().setHello(hello).build());
    send(FleetFrame.newBuilder().setPulse(host.pulseFor(member.name())).build());
  }

  private void onBytes(NetSocket from, Buffer bytes) {
    if (from != socket) {
      return;
    }
    lastHeard = clock.now();
    try {
      for (FleetFrame frame : reader.feed(bytes)) {
        onFrame(frame);
      }
    } catch (InvalidProtocolBufferException e) {
      drop("broken frame");
    }
  }

  private void onFrame(FleetFrame frame) {
    switch (frame.getBodyCase()) {
      case ANSWER -> {
        Call call = calls.remove(frame.getAnswer().getCallId());
        if (call != null) {
          call.handler().onResult(StatementMessages.toResult(frame.getAnswer()));
        }
      }
      case PULSE -> {
        leaving = frame.getPulse().getLeaving();
        noteAlive(lastHeard);
        host.onPulse(member.name(), frame.getPulse());
      }
      case TOKEN_GRANT -> host.onGrant(member.name(), frame.getTokenGrant());
      case MIRROR_PUSH -> host.onMirror(frame.getMirrorPush());
      default -> log.log(EventKind.PROTOCOL, "unexpected frame", "peer", member.name());
    }
  }

  private void onClosed(NetSocket gone) {
    if (gone == socket) {
      drop("closed");
    }
  }

  private void drop(String reason) {
    NetSocket gone = socket;
    socket = null;
    leaving = false;
    if (gone != null) {
      gone.close();
      log.log(
          EventKind.MEMBERSHIP,
          "link lost",
          "peer",
          member.name(),
          "reason",
          reason,
          "calls",
          calls.size());
    }
    loseCalls(false);
    noteAlive(clock.now());
  }

  private void loseCalls(boolean onlyRepeatable) {
    List<Map.Entry<Long, Call>> lost = new ArrayList<>();
    for (Map.Entry<Long, Call> entry : calls.entrySet()) {
      if (!onlyRepeatable || entry.getValue().mayBeRepeated()) {
        lost.add(entry);
      }
    }
    lost.forEach(entry -> calls.remove(entry.getKey()));
    lost.forEach(entry -> entry.getValue().handler().onLost());
  }

  void close() {
    closed = true;
    drop("not needed");
  }
}
