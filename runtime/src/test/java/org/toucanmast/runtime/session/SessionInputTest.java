package org.toucanmast.runtime.session;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.statement.Statement;
import org.toucanmast.runtime.port.CallerDialect;
import org.toucanmast.runtime.port.CallerMessage;
import org.toucanmast.runtime.port.DialectException;

/** Guards against callers that send far ahead of their answers and fill the heap. */
class SessionInputTest {
  /** A connection of which only pauses are followed. */
  private static final class Connection implements ReadStream<Buffer> {
    private boolean paused;

    @Override
    public Connection exceptionHandler(Handler<Throwable> handler) {
      return this;
    }

    @Override
    public Connection handler(Handler<Buffer> handler) {
      return this;
    }

    @Override
    public Connection pause() {
      paused = true;
      return this;
    }

    @Override
    public Connection resume() {
      paused = false;
      return this;
    }

    @Override
    public Connection fetch(long amount) {
      return this;
    }

    @Override
    public Connection endHandler(Handler<Void> endHandler) {
      return this;
    }
  }

  /** Decodes each hundred bytes into a message, and fewer ones into a part of one. */
  private static final class MessageDecoder implements CallerDialect.Decoder {
    @Override
    public List<CallerMessage> feed(Buffer bytes) {
      CallerMessage message = new CallerMessage.Query("id", new Statement.Begin(false));
      return Collections.nCopies(bytes.length() / 100, message);
    }

    @Override
    public boolean isInsideMessage() {
      return false;
    }
  }

  private final Connection connection = new Connection();
  private final Queue<Runnable> later = new ArrayDeque<>();
  private final SessionReading reading = new SessionReading(connection, later::add);
  private final SessionInput input = new SessionInput(new MessageDecoder(), reading);

  private static Buffer bytes(int length) {
    return Buffer.buffer(new byte[length]);
  }

  private void handleAll() {
    while (!input.isEmpty()) {
      input.next();
      if (!input.isEmpty()) {
        input.resumeIfEmpty();
        runLater();
        assertThat(connection.paused).isTrue();
      }
    }
    input.resumeIfEmpty();
    runLater();
  }

  private void runLater() {
    while (!later.isEmpty()) {
      later.remove().run();
    }
  }

  /** The session was closed with MALFORMED, and its statements were lost. */
  @Test
  void should_pause_reading_while_many_messages_wait() throws DialectException {
    input.add(bytes(100 * 200));
    assertThat(connection.paused).isTrue();

    handleAll();

    assertThat(connection.paused).isFalse();
  }

  /** Sixty-four messages of 1 MiB each were held for one session. */
  @Test
  void should_pause_reading_while_long_messages_wait() throws DialectException {
    input.add(bytes(150));
    for (int piece = 0; piece < 1_000; piece++) {
      input.add(bytes(90));
    }
    assertThat(connection.paused).isTrue();

    handleAll();

    assertThat(connection.paused).isFalse();
  }

  /** A paused connection would never bring the rest of the message. */
  @Test
  void should_read_a_long_message_to_its_end_while_nothing_waits() throws DialectException {
    for (int piece = 0; piece < 10_000; piece++) {
      input.add(bytes(90));
    }

    assertThat(connection.paused).isFalse();
  }

  @Test
  void should_not_read_on_while_answers_wait_to_be_sent() throws DialectException {
    input.add(bytes(100 * 200));
    reading.setOutputFull(true);
    input.removeStatements();
    runLater();
    assertThat(connection.paused).isTrue();

    reading.setOutputFull(false);
    runLater();

    assertThat(connection.paused).isFalse();
  }
}
