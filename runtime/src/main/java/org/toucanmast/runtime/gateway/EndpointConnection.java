package org.toucanmast.runtime.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.gateway.ConnectionStatements;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.DialectException;
import org.toucanmast.runtime.port.EndpointDialect;

/**
 * A connection to an endpoint, opened on behalf of one customer.
 *
 * <p>The endpoint answers commands in order. Commands are buffered until the endpoint has accepted
 * the connection: an endpoint that refuses a connection may reset it, and the outcome of commands
 * sent before its answer would be unknown.
 *
 * <p>The connection tracks the session values and prepared statements that the endpoint holds for
 * it, so that they can be aligned with those of a caller's session.
 */
final class EndpointConnection {

  /** Reason for the end of a connection. */
  enum Loss {
    /** The connection attempt was refused: nothing listens at the address. */
    REFUSED,
    /** The connection attempt failed in another way, for example by timing out. */
    UNREACHABLE,
    /** The connection was closed by either side. */
    CLOSED
  }

  /** Handles the replies to a sequence of commands. */
  interface ReplyHandler {
    /** Called with the reply to the command at the given index. */
    void onReply(int index, EndpointReply reply);

    /**
     * Called when the connection ended before the reply to the command at the given index.
     *
     * @param sent whether the command may have reached the endpoint
     */
    void onLost(int index, Loss loss, boolean sent);
  }

  /** Total length of the names and values of sessions that an idle connection keeps. */
  private static final long MAXIMUM_KEPT_LENGTH_IN_CHARACTERS = 64 * 1024;

  private record PendingReply(ReplyHandler handler, int index, long issuedAt) {}

  private final EndpointEntry entry;
  private final String customer;
  private final EndpointDialect dialect;
  private final EndpointDialect.Decoder decoder;
  private final VmClock clock;
  private final EventLog log;
  private final Runnable onClosed;
  private final Deque<PendingReply> pendingReplies = new ArrayDeque<>();
  private final Map<String, String> sessionValues = new HashMap<>();
  private final ConnectionStatements preparedStatements = new ConnectionStatements();
  private final Buffer unsent = Buffer.buffer();
  private NetSocket socket;
  private BooleanSupplier openingGuard = () -> true;
  private boolean opened;
  private boolean closed;
  private boolean busy;
  private long lastUsedAt;
  private long openedAt;

  EndpointConnection(
      NetClient client,
      EndpointDialect dialect,
      VmClock clock,
      EventLog log,
      EndpointEntry entry,
      String customer,
      ReplyHandler openHandler,
      Runnable onClosed) {
    this.entry = entry;
    this.customer = customer;
    this.dialect = dialect;
    this.decoder = dialect.decoder();
    this.clock = clock;
    this.log = log;
    this.onClosed = onClosed;
    this.lastUsedAt = clock.now();
    pendingReplies.addLast(new PendingReply(openHandler, 0, clock.now()));
    client
        .connect(entry.port(), entry.host())
        .onSuccess(this::onConnected)
        .onFailure(
            error ->
                end(
                    error instanceof ConnectException && isConnectionRefused(error)
                        ? Loss.REFUSED
                        : Loss.UNREACHABLE,
                    false));
  }

  /**
   * Returns whether a {@link ConnectException} means a refusal: an attempt that times out fails
   * with one, too.
   */
  private static boolean isConnectionRefused(Throwable error) {
    String message = String.valueOf(error.getMessage());
    return !message.contains("timed out");
  }

  private void onConnected(NetSocket connected) {
    if (closed) {
      connected.close();
      return;
    }
    socket = connected;
    socket.handler(this::onBytes);
    socket.closeHandler(ignored -> end(Loss.CLOSED, true));
    socket.exceptionHandler(error -> end(Loss.CLOSED, true));
    try {
      socket.write(dialect.encode(new EndpointCommand.Open(entry.group(), customer, entry.id())));
    } catch (DialectException e) {
      logUnsendable(e);
      end(Loss.UNREACHABLE, false);
    }
  }

  private void logUnsendable(DialectException reason) {
    log.log(
        EventKind.ERROR,
        "command cannot be sent to an endpoint",
        "endpoint",
        entry.id(),
        "customer",
        customer,
        "reason",
        reason.getMessage());
  }

  /**
   * Sets whether the commands that wait for the endpoint to accept the connection may still be sent
   * then; if not, the connection is closed instead.
   */
  void setOpeningGuard(BooleanSupplier guard) {
    if (!opened) {
      openingGuard = guard;
    }
  }

  private void onOpened() {
    if (!openingGuard.getAsBoolean()) {
      end(Loss.CLOSED, false);
      return;
    }
    openingGuard = () -> true;
    opened = true;
    openedAt = clock.now();
    if (unsent.length() > 0 && !closed) {
      socket.write(unsent.copy());
    }
  }

  /**
   * Sends commands in order. The handler is called once for each of them, with its reply or with
   * the loss of the connection. If one of them cannot be encoded, none is sent, and the connection
   * is closed, as the endpoint no longer holds what is recorded here.
   */
  void exchange(List<EndpointCommand> commands, ReplyHandler handler) {
    long now = clock.now();
    Buffer bytes = Buffer.buffer();
    try {
      for (EndpointCommand command : commands) {
        bytes.appendBuffer(dialect.encode(command));
      }
    } catch (DialectException e) {
      logUnsendable(e);
      close();
    }
    for (int index = 0; index < commands.size(); index++) {
      pendingReplies.addLast(new PendingReply(handler, index, now));
    }
    lastUsedAt = now;
    if (closed) {
      failPendingReplies(Loss.CLOSED, false);
    } else if (!opened) {
      unsent.appendBuffer(bytes);
    } else {
      socket.write(bytes);
    }
  }

  private void onBytes(Buffer bytes) {
    try {
      for (EndpointReply reply : decoder.feed(bytes)) {
        if (closed) {
          return;
        }
        PendingReply next = pendingReplies.pollFirst();
        if (next == null) {
          throw new DialectException("reply without a pending command");
        }
        lastUsedAt = clock.now();
        next.handler().onReply(next.index(), reply);
        if (!opened && !closed) {
          onOpened();
        }
      }
    } catch (DialectException e) {
      log.log(
          EventKind.PROTOCOL,
          "connection closed after an unreadable reply",
          "endpoint",
          entry.id(),
          "awaited",
          pendingReplies.size(),
          "reason",
          e.getMessage());
      close();
    }
  }

  /**
   * Returns the commands that bring the connection to the requested session values and prepare the
   * statement. The connection records them as applied, so the commands must be sent. What needs
   * them may be sent only after the endpoint has accepted all of them.
   *
   * <p>A connection that holds a value that is not requested is reset first, which drops its
   * prepared statements as well.
   */
  List<EndpointCommand> alignSession(
      Map<String, String> requestedValues, Optional<PreparedShape> statement) {
    List<EndpointCommand> commands = new ArrayList<>();
    if (!requestedValues.keySet().containsAll(sessionValues.keySet())) {
      commands.add(new EndpointCommand.Reset());
      sessionValues.clear();
      preparedStatements.clear();
    }
    requestedValues.forEach(
        (name, value) -> {
          if (!value.equals(sessionValues.put(name, value))) {
            commands.add(new EndpointCommand.SetValue(name, value));
          }
        });
    statement
        .filter(shape -> !preparedStatements.contains(shape))
        .ifPresent(
            shape ->
                commands.add(new EndpointCommand.Prepare(preparedStatements.add(shape), shape)));
    return commands;
  }

  /** Returns the name under which a statement that is prepared here is known to the endpoint. */
  String preparedName(PreparedShape statement) {
    return preparedStatements.name(statement);
  }

  /** Returns whether the connection holds more of sessions than an idle one should keep. */
  boolean isSessionStateTooLarge() {
    long length = 0;
    for (Map.Entry<String, String> entry : sessionValues.entrySet()) {
      length += entry.getKey().length() + entry.getValue().length();
    }
    return preparedStatements.isTooLarge() || length > MAXIMUM_KEPT_LENGTH_IN_CHARACTERS;
  }

  /** Drops all session values and prepared statements, and closes the connection on a refusal. */
  void resetSession(Runnable onReset) {
    sessionValues.clear();
    preparedStatements.clear();
    exchange(
        List.of(new EndpointCommand.Reset()),
        new ReplyHandler() {
          @Override
          public void onReply(int index, EndpointReply reply) {
            if (!reply.isSuccess()) {
              close();
            }
            onReset.run();
          }

          @Override
          public void onLost(int index, Loss loss, boolean sent) {
            onReset.run();
          }
        });
  }

  /** Forgets the prepared statements, after the endpoint has reported one as unknown. */
  void clearPreparedStatements() {
    preparedStatements.clear();
  }

  boolean hasSessionValues(Map<String, String> requestedValues) {
    return sessionValues.equals(requestedValues);
  }

  String customer() {
    return customer;
  }

  EndpointEntry entry() {
    return entry;
  }

  boolean isBusy() {
    return busy;
  }

  void setBusy(boolean newBusy) {
    busy = newBusy;
  }

  boolean isClosed() {
    return closed;
  }

  /**
   * Returns when the endpoint accepted the connection, on the steady clock in milliseconds; 0
   * before that.
   */
  long openedAt() {
    return openedAt;
  }

  long lastUsedAt() {
    return lastUsedAt;
  }

  /**
   * Returns when the oldest unanswered command was issued, on the steady clock in milliseconds;
   * {@link Long#MAX_VALUE} when no reply is awaited.
   */
  long awaitingReplySince() {
    PendingReply oldest = pendingReplies.peekFirst();
    return oldest == null ? Long.MAX_VALUE : oldest.issuedAt();
  }

  void close() {
    end(Loss.CLOSED, true);
  }

  private void end(Loss loss, boolean sent) {
    if (closed) {
      return;
    }
    closed = true;
    if (socket != null) {
      socket.close();
    }
    onClosed.run();
    failPendingReplies(loss, sent && opened);
  }

  private void failPendingReplies(Loss loss, boolean sent) {
    List<PendingReply> unanswered = new ArrayList<>(pendingReplies);
    pendingReplies.clear();
    unanswered.forEach(reply -> reply.handler().onLost(reply.index(), loss, sent));
  }
}
