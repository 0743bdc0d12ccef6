package org.toucanmast.runtime.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.EnumSet;
import java.util.Set;
import org.toucanmast.core.link.ConnectBackoff;
import org.toucanmast.core.link.LinkLiveness;
import org.toucanmast.core.link.LinkUse;
import org.toucanmast.core.link.LocalHealth;
import org.toucanmast.core.link.OutputBudget;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.schema.FleetFrame;
import org.toucanmast.schema.FleetHello;
import org.toucanmast.schema.StatementAnswer;

/**
 * The link that this VM opens to a peer when it needs one, to send it statements and receive their
 * results.
 */
public final class FleetLink {
  /** Timeout of an attempt to connect: many times a round trip. */
  public static final int CONNECT_TIMEOUT_IN_MILLISECONDS = 500;

  /** A link that no statement used for this long, and that nothing else needs, is closed. */
  private static final long IDLE_TIMEOUT_IN_MILLISECONDS = 30_000;

  /** Receives the outcome of a statement that was sent over the link. */
  public interface CallHandler {
    /** Called with the statement's result. */
    void onResult(StatementResult result);

    /** Called if the result can no longer be received; the statement may have run. */
    void onLost();

    /** Called if the statement was not sent; it has not run. */
    void onNotSent();
  }

  private final NetClient client;
  private final VmClock clock;
  private final EventLog log;
  private final FleetMessageHandler messageHandler;
  private final FleetHello hello;
  private final FleetMember member;
  private final OutstandingCalls calls = new OutstandingCalls();
  private final UnsentFrames unsent;
  private final OutputBudget budget;
  private final LocalHealth localHealth;
  private final ConnectBackoff backoff;
  private final Set<LinkUse> uses = EnumSet.noneOf(LinkUse.class);
  private LinkLiveness liveness;
  private FrameReader reader = new FrameReader();
  private NetSocket socket;
  private LinkOutput output;
  private boolean closed;
  private boolean retired;
  private boolean leaving;
  private boolean connectFailed;
  private boolean connectFailureLogged;
  private boolean suspected;
  private long lastStatementAt = Long.MIN_VALUE / 2;

  /** Creates the client that connects a VM to its peers and to endpoints. */
  public static NetClient newClient(Vertx vertx) {
    return vertx.createNetClient(
        new NetClientOptions()
            .setConnectTimeout(CONNECT_TIMEOUT_IN_MILLISECONDS)
            .setTcpNoDelay(true)
            .setReconnectAttempts(0));
  }

  FleetLink(
      NetClient client,
      VmClock clock,
      EventLog log,
      FleetMessageHandler messageHandler,
      FleetHello hello,
      FleetMember member,
      LocalHealth localHealth,
      OutputBudget budget) {
    this.budget = budget;
    this.unsent = new UnsentFrames(budget);
    this.localHealth = localHealth;
    this.backoff = new ConnectBackoff(localHealth);
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.messageHandler = messageHandler;
    this.hello = hello;
    this.member = member;
    this.liveness = new LinkLiveness(localHealth, clock.now());
  }

  FleetMember member() {
    return member;
  }

  /** Sets for what the link is kept besides statements. */
  void setUse(LinkUse use, boolean needed) {
    uses.remove(use);
    if (needed) {
      uses.add(use);
    }
  }

  /**
   * Returns whether statements may be sent to the peer: it answers, or a connection to it is being
   * opened, or one may be. Statements wait for a connection no longer than usual, also while this
   * VM extends its timeouts.
   */
  boolean isUsable(long now) {
    return !leaving && isAnswering(now);
  }

  private boolean isAnswering(long now) {
    return !closed && !retired && !isSuspected(now) && !(socket == null && backoff.isOverdue(now));
  }

  /**
   * Returns whether the peer does not answer, or the last attempt to connect to it failed. While
   * this VM may not judge its peers, the last verdict stays in force.
   */
  boolean isSuspected(long now) {
    if (socket == null) {
      return backoff.isSuspected(now);
    }
    return localHealth.mayJudge(now) ? liveness.isSuspected(now) : suspected;
  }

  /** Opens the link, if it is not open, for the statements that are about to be sent. */
  void prepare() {
    lastStatementAt = clock.now();
    uses.add(LinkUse.STATEMENTS);
    if (socket == null) {
      connectIfDue(lastStatementAt);
    }
  }

  boolean isOpen() {
    return socket != null;
  }

  boolean isLeaving() {
    return leaving;
  }

  /**
   * Sends a statement, as soon as the link is open. A peer that is about to stop gets the
   * statements of the transactions that are open there, and no others.
   *
   * @param handler called once
   */
  public void call(StatementRequest request, CallHandler handler) {
    long now = clock.now();
    boolean continuesTransaction = request.transaction() != StatementRequest.NO_TRANSACTION;
    if (continuesTransaction ? !isAnswering(now) : !isUsable(now)) {
      handler.onNotSent();
      return;
    }
    lastStatementAt = now;
    uses.add(LinkUse.STATEMENTS);
    long callId = calls.add(request, handler, now);
    // At another time the peer might be suspected, and the frame would be dropped.
    FleetFrame frame = FrameWriter.call(callId, request);
    if (!FrameWriter.isSendable(frame)) {
      refuse(callId, request, StatementResult.failure(ResultCode.TOO_BIG, FrameWriter.TOO_LONG));
    } else if (socket == null ? unsent.admits(frame) : output.admits(frame)) {
      send(frame, now);
    } else {
      ResultCode code = continuesTransaction ? ResultCode.ABORTED : ResultCode.BUSY;
      refuse(callId, request, StatementResult.failure(code, LinkOutput.FULL));
    }
  }

  /** The session takes a transaction for failed then, and does not roll it back. */
  private void refuse(long callId, StatementRequest request, StatementResult result) {
    if (request.transaction() != StatementRequest.NO_TRANSACTION) {
      send(FrameWriter.rollback(request));
    }
    calls.remove(callId).ifPresent(handler -> handler.onResult(result));
  }

  /** Sends a frame, as soon as the link is open. */
  void send(FleetFrame frame) {
    send(frame, clock.now());
  }

  private void send(FleetFrame frame, long now) {
    if (socket == null) {
      if (!closed && !isSuspected(now)) {
        unsent.add(frame);
        connectIfDue(now);
      }
      return;
    }
    if (frame.hasCall() || frame.hasTokenAsk()) {
      liveness.onRequestSent(now);
    }
    output.write(frame);
  }

  /** Sends a heartbeat if the link is open. */
  void sendHeartbeat() {
    if (socket != null) {
      liveness.onHeartbeatSent(clock.now());
      send(FleetFrame.newBuilder().setPulse(messageHandler.heartbeatFor(member.name())).build());
    }
  }

  /** Returns whether the peer has answered or an attempt to connect to it has failed. */
  boolean isReachabilityKnown() {
    return socket != null || connectFailed;
  }

  /**
   * Sends a heartbeat if one is due and closes the link if the peer is silent; connects if the link
   * is down and needed.
   *
   * @param now the current monotonic time, in milliseconds
   * @param pauseInMilliseconds how long this VM itself was suspended, which does not count as
   *     silence
   */
  void tick(long now, long pauseInMilliseconds) {
    if (closed) {
      return;
    }
    liveness.onPause(pauseInMilliseconds, now);
    if (now - lastStatementAt > IDLE_TIMEOUT_IN_MILLISECONDS) {
      uses.remove(LinkUse.STATEMENTS);
    }
    if (socket == null) {
      if (backoff.isOverdue(now)) {
        failUnsent();
      }
      if (!uses.isEmpty()) {
        connectIfDue(now);
      }
    } else if (liveness.isLost(now)) {
      disconnect("silent");
    } else {
      if (liveness.isHeartbeatDue(uses, now)) {
        sendHeartbeat();
      }
      if (liveness.isSuspected(now)) {
        calls.loseReads();
      }
      if (pauseInMilliseconds == 0 && localHealth.mayJudge(now)) {
        calls.loseOverdue(now);
      }
    }
    updateSuspicion(now);
    closeIfRetired();
  }

  /** Returns whether nothing needs the link any more. */
  boolean isUnused() {
    return uses.isEmpty() && calls.isEmpty() && unsent.isEmpty();
  }

  private void updateSuspicion(long now) {
    boolean nowSuspected = isSuspected(now);
    if (nowSuspected != suspected) {
      suspected = nowSuspected;
      log.log(
          EventKind.MEMBERSHIP,
          nowSuspected ? "peer unreachable" : "peer reachable",
          "peer",
          member.name(),
          "leaving",
          leaving);
      messageHandler.onReachabilityChanged();
    }
  }

  /** Logs the first of consecutive failures only; attempts continue while the peer is listed. */
  private void onConnectFailed(Throwable error) {
    long now = clock.now();
    if (error instanceof ConnectTimeoutException) {
      if (!backoff.onTimedOut(CONNECT_TIMEOUT_IN_MILLISECONDS, now)) {
        return;
      }
    } else {
      backoff.onFailed(now);
    }
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
    failUnsent();
    updateSuspicion(clock.now());
  }

  private void connectIfDue(long now) {
    if (!backoff.mayAttempt(now)) {
      return;
    }
    backoff.onAttempt(now);
    client
        .connect(member.port(), member.host())
        .onSuccess(this::onConnected)
        .onFailure(this::onConnectFailed);
  }

  private void onConnected(NetSocket connected) {
    if (closed) {
      connected.close();
      return;
    }
    connectFailureLogged = false;
    backoff.onConnected();
    socket = connected;
    output = new LinkOutput(connected, budget, log);
    reader = new FrameReader();
    liveness = new LinkLiveness(localHealth, clock.now());
    socket.handler(bytes -> onBytes(connected, bytes));
    socket.closeHandler(done -> onClosed(connected));
    socket.exceptionHandler(error -> onClosed(connected));
    send(FleetFrame.newBuilder().setHello(hello).build());
    sendHeartbeat();
    unsent.removeAll().forEach(this::send);
    updateSuspicion(clock.now());
  }

  private void onBytes(NetSocket source, Buffer bytes) {
    if (source != socket) {
      return;
    }
    try {
      for (FleetFrame frame : reader.feed(bytes)) {
        onFrame(frame);
      }
      liveness.onReceived(!calls.isEmpty(), clock.now());
      updateSuspicion(clock.now());
      closeIfRetired();
    } catch (InvalidProtocolBufferException e) {
      disconnect("invalid frame");
    }
  }

  private void onFrame(FleetFrame frame) {
    switch (frame.getBodyCase()) {
      case ANSWER -> {
        StatementAnswer answer = frame.getAnswer();
        calls
            .remove(answer.getCallId())
            .ifPresent(handler -> handler.onResult(StatementMessages.toResult(answer)));
      }
      case PULSE -> {
        if (leaving != frame.getPulse().getLeaving()) {
          leaving = frame.getPulse().getLeaving();
          messageHandler.onReachabilityChanged();
        }
        messageHandler.onHeartbeat(member.name(), frame.getPulse());
      }
      case TOKEN_GRANT -> messageHandler.onTokenGrant(member.name(), frame.getTokenGrant());
      case USAGE_RECEIPT ->
          messageHandler
              .usage()
              .ifPresent(usage -> usage.onUsageReceipt(member.name(), frame.getUsageReceipt()));
      case MIRROR_PULL -> output.writeMirror(messageHandler.mirrorContent(frame.getMirrorPull()));
      case MIRROR_PUSH -> messageHandler.onMirrorContent(member.name(), frame.getMirrorPush());
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
      backoff.onFailed(clock.now());
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
    closed |= retired;
    failUnsent();
    calls.loseAll();
    updateSuspicion(clock.now());
  }

  /** Reports the statements that wait for the connection as not sent. */
  private void failUnsent() {
    calls.removeAll(unsent.removeAll()).forEach(CallHandler::onNotSent);
  }

  /**
   * Sends nothing new over the link, and closes it as soon as the peer owes no answer. The peer may
   * have written its answers before the news came that its entry is gone or has changed. The link
   * must be ticked until it is closed.
   */
  void retire() {
    retired = true;
    failUnsent();
    closeIfRetired();
  }

  private void closeIfRetired() {
    if (retired && (socket == null || calls.isEmpty())) {
      close();
    }
  }

  boolean isClosed() {
    return closed;
  }

  private void close() {
    if (!closed) {
      failUnsent();
      closed = true;
      disconnect("peer removed, its address changed, or the link is not used");
    }
  }
}
