package org.toucanmast.runtime.session;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.toucanmast.runtime.port.CallerDialect;
import org.toucanmast.runtime.port.CallerMessage;
import org.toucanmast.runtime.port.DialectException;

/**
 * The messages that a session has received and not yet handled, in order.
 *
 * <p>Answers the load of callers that send far ahead of their answers: reading from them pauses.
 */
final class SessionInput {
  private static final int MAXIMUM_MESSAGES = 64;

  /** Bytes that are read ahead; callers rarely have more than some hundred bytes unanswered. */
  private static final long MAXIMUM_LENGTH_IN_BYTES = 64 * 1024;

  private final CallerDialect.Decoder decoder;
  private final SessionReading reading;
  private final Deque<CallerMessage> messages = new ArrayDeque<>();
  private long lengthInBytes;

  SessionInput(CallerDialect.Decoder decoder, SessionReading reading) {
    this.decoder = decoder;
    this.reading = reading;
  }

  /**
   * Adds received bytes, and pauses reading if much waits.
   *
   * @throws DialectException if they are not valid
   */
  void add(Buffer bytes) throws DialectException {
    messages.addAll(decoder.feed(bytes));
    lengthInBytes = messages.isEmpty() ? 0 : lengthInBytes + bytes.length();
    if (messages.size() > MAXIMUM_MESSAGES || lengthInBytes > MAXIMUM_LENGTH_IN_BYTES) {
      reading.setInputFull(true);
    }
  }

  /** Goes on to read if nothing waits. */
  void resumeIfEmpty() {
    if (messages.isEmpty()) {
      lengthInBytes = 0;
      reading.setInputFull(false);
    }
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /** Returns whether nothing waits and no part of a further message has been received. */
  boolean isAtRest() {
    return messages.isEmpty() && !decoder.isInsideMessage();
  }

  /** Removes and returns the next message. */
  CallerMessage next() {
    return messages.removeFirst();
  }

  /** Removes all messages and returns the statements among them. */
  List<CallerMessage.Query> removeStatements() {
    List<CallerMessage.Query> statements =
        messages.stream()
            .filter(CallerMessage.Query.class::isInstance)
            .map(CallerMessage.Query.class::cast)
            .toList();
    messages.clear();
    resumeIfEmpty();
    return statements;
  }
}
