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

/** The link that this VM opens to a peer, to send it statements and receive their results. */
public final class FleetLink {
  /** A link that is silent for this long gets no new statements; two heartbeats were lost. */
  static final long SUSPICION_TIMEOUT_IN_MILLISECONDS = 350;

  /** A link that is silent for this long is closed; short suspensions of a peer end earlier. */
  static final long SILENCE_TIMEOUT_IN_MILLISECONDS = 1_200;

  /** Minimum time between two attempts to connect. */
  private static final long CONNECT_INTERVAL_IN_MILLISECONDS = 250;

  /** Receives the outcome of a statement that was sent over the link. */
  public interface CallHandler {
    /** Called with the statement's result. */
    void onResult(StatementResult result);

    /** Called if the result can no longer be received; the statement may have run. */
    void onLost();
  }

  private record Call(StatementRequest request, CallHandler handler) {
    private boolean isRetryable() {
      return request.operation() == Operation.READ;
    }
  }

  private final NetClient client;
  private final VmClock clock;
  private final EventLog log;
  private final FleetMessageHandler messageHandler;
  private final FleetHello hello;
  private final FleetMember member;
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private FrameReader reader = new FrameReader();
  private NetSocket socket;
  private boolean connecting;
  private boolean closed;
  private boolean leaving;
  private boolean connectFailed;
  private boolean connectFailureLogged;
  private boolean available;
  private long connectStartedAt = Long.MIN_VALUE;
  private long lastReceivedAt = Long.MIN_VALUE;
  private long lastCallId;

  FleetLink(
      NetClient client,
      VmClock clock,
      EventLog log,
      FleetMessageHandler messageHandler,
      FleetHello hello,
      FleetMember member) {
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.messageHandler = messageHandler;
    this.hello = hello;
    this.member = member;
  }

  FleetMember member() {
    return member;
  }

  /** Returns whether the peer answers and accepts new statements. */
  boolean isAvailable(long now) {
    return socket != null && !leaving && now - lastReceivedAt <= SUSPICION_TIMEOUT_IN_MILLISECONDS;
  }

  /**
   * Sends a statement.
   *
   * @param handler called once, immediately if the link is down
   */
  public void call(StatementRequest request, CallHandler handler) {
    if (socket == null) {
      handler.onLost();
      return;
    }
    lastCallId++;
    calls.put(lastCallId, new Call(request, handler));
    send(FleetFrame.newBuilder().setCall(StatementMessages.toCall(lastCallId, request)).build());
  }

  /** Asks the peer for its mirror of a kind of the store's objects. */
  void pullMirror(String kind) {
    send(FleetFrame.newBuilder().setMirrorPull(MirrorPull.newBuilder().setKind(kind)).build());
  }

  /** Sends a token request to the peer. */
  void requestTokens(TokenAsk request) {
    send(FleetFrame.newBuilder().setTokenAsk(request).build());
  }

  /** Returns unused tokens to the peer. */
  void returnTokens(TokenReturn unused) {
    send(FleetFrame.newBuilder().setTokenReturn(unused).build());
  }

  /** Returns whether the peer is available or an attempt to connect to it has failed. */
  boolean isReachabilityKnown() {
    return available || connectFailed;
  }

  private void send(FleetFrame frame) {
    if (socket != null) {
      socket.write(FrameReader.encode(frame));
    }
  }

  /**
   * Sends a heartbeat and closes the link if the peer is silent, or connects if the link is down.
   *
   * @param now the current monotonic time, in milliseconds
   * @param pauseInMilliseconds how long this VM itself was suspended, which does not count as
   *     silence
   */
  void tick(long now, long pauseInMilliseconds) {
    if (closed) {
      return;
    }
    lastReceivedAt =
        pauseInMilliseconds > 0 && lastReceivedAt != Long.MIN_VALUE
            ? lastReceivedAt + pauseInMilliseconds
            : lastReceivedAt;
    if (socket == null) {
      connectIfDue(now);
    } else {
      send(FleetFrame.newBuilder().setPulse(messageHandler.heartbeatFor(member.name())).build());
      if (now - lastReceivedAt > SILENCE_TIMEOUT_IN_MILLISECONDS) {
        disconnect("silent");
      } else if (now - lastReceivedAt > SUSPICION_TIMEOUT_IN_MILLISECONDS) {
        failCalls(true);
      }
    }
    updateAvailability(now);
  }

  private void updateAvailability(long now) {
    boolean nowAvailable = isAvailable(now);
    if (nowAvailable != available) {
      available = nowAvailable;
      log.log(
          EventKind.MEMBERSHIP,
          nowAvailable ? "peer reachable" : "peer unreachable",
          "peer",
          member.name(),
          "leaving",
          leaving);
      messageHandler.onReachabilityChanged();
    }
  }

  /** Logs the first of consecutive failures only; attempts continue while the peer is listed. */
  private void onConnectFailed(Throwable error) {
    if (!connectFailureLogged) {
      log.log(
          EventKind.MEMBERSHIP,
          "connection to peer failed",
          "peer",
          member.name(),
          "reason",
          String.valueOf(error.getMessage()));
    }
    connectFailureLogged = true;
    connectFailed = true;
  }

  private void connectIfDue(long now) {
    if (connecting
        || connectStartedAt != Long.MIN_VALUE
            && now - connectStartedAt < CONNECT_INTERVAL_IN_MILLISECONDS) {
      return;
    }
    connecting = true;
    connectStartedAt = now;
    client
        .connect(member.port(), member.host())
        .onSuccess(this::onConnected)
        .onFailure(
            error -> {
              connecting = false;
              onConnectFailed(error);
            });
  }

  private void onConnected(NetSocket connected) {
    connecting = false;
    if (closed) {
      connected.close();
      return;
    }
    connectFailureLogged = false;
    socket = connected;
    reader = new FrameReader();
    lastReceivedAt = clock.now();
    socket.handler(bytes -> onBytes(connected, bytes));
    socket.closeHandler(done -> onClosed(connected));
    socket.exceptionHandler(error -> onClosed(connected));
    send(FleetFrame.newBuilder().setHello(hello).build());
    send(FleetFrame.newBuilder().setPulse(messageHandler.heartbeatFor(member.name())).build());
  }

  private void onBytes(NetSocket source, Buffer bytes) {
    if (source != socket) {
      return;
    }
    lastReceivedAt = clock.now();
    try {
      for (FleetFrame frame : reader.feed(bytes)) {
        onFrame(frame);
      }
    } catch (InvalidProtocolBufferException e) {
      disconnect("invalid frame");
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
        updateAvailability(lastReceivedAt);
        messageHandler.onHeartbeat(member.name(), frame.getPulse());
      }
      case TOKEN_GRANT -> messageHandler.onTokenGrant(member.name(), frame.getTokenGrant());
      case MIRROR_PUSH -> messageHandler.onMirrorSnapshot(frame.getMirrorPush());
      default -> log.log(EventKind.PROTOCOL, "unexpected frame", "peer", member.name());
    }
  }

  private void onClosed(NetSocket closedSocket) {
    if (closedSocket == socket) {
      disconnect("closed");
    }
  }

  private void disconnect(String reason) {
    NetSocket closedSocket = socket;
    socket = null;
    leaving = false;
    if (closedSocket != null) {
      closedSocket.close();
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
    failCalls(false);
    updateAvailability(clock.now());
  }

  private void failCalls(boolean onlyRetryable) {
    List<Map.Entry<Long, Call>> lost = new ArrayList<>();
    for (Map.Entry<Long, Call> entry : calls.entrySet()) {
      if (!onlyRetryable || entry.getValue().isRetryable()) {
        lost.add(entry);
      }
    }
    lost.forEach(entry -> calls.remove(entry.getKey()));
    lost.forEach(entry -> entry.getValue().handler().onLost());
  }

  void close() {
    closed = true;
    disconnect("peer removed or address changed");
  }
}
