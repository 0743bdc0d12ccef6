package org.toucanmast.runtime.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.OutputStream;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.statement.Access;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;

class EndpointConnectionTest {
  private final Vertx vertx = Vertx.vertx();
  private final EndpointConnection connection =
      new EndpointConnection(
          vertx.createNetClient(),
          new NoOpDialect(),
          new VmClock(),
          new EventLog("vm", OutputStream.nullOutputStream()),
          new EndpointEntry("i-1", "group", "127.0.0.1", 1, "a", 3, false, true, 1),
          "customer",
          new NoOpReplyHandler(),
          () -> {});

  private static final class NoOpReplyHandler implements EndpointConnection.ReplyHandler {
    @Override
    public void onReply(int index, EndpointReply reply) {}

    @Override
    public void onLost(int index, EndpointConnection.Loss loss, boolean sent) {}
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  @Test
  void should_set_only_the_values_that_differ() {
    connection.alignSession(Map.of("a", "1", "b", "2"), Optional.empty());

    assertThat(connection.alignSession(Map.of("a", "1", "b", "3"), Optional.empty()))
        .containsExactly(new EndpointCommand.SetValue("b", "3"));
  }

  @Test
  void should_reset_when_the_session_lacks_a_value_of_the_connection() {
    connection.alignSession(Map.of("a", "1", "b", "2"), Optional.empty());

    assertThat(connection.alignSession(Map.of("b", "2"), Optional.empty()))
        .containsExactly(new EndpointCommand.Reset(), new EndpointCommand.SetValue("b", "2"));
  }

  @Test
  void should_prepare_a_statement_once_and_again_after_a_reset() {
    PreparedShape shape = new PreparedShape(Access.READ, "q");

    assertThat(connection.alignSession(Map.of("a", "1"), Optional.of(shape)))
        .contains(new EndpointCommand.Prepare("s0", shape));
    assertThat(connection.alignSession(Map.of("a", "1"), Optional.of(shape))).isEmpty();
    assertThat(connection.alignSession(Map.of(), Optional.of(shape)))
        .containsExactly(new EndpointCommand.Reset(), new EndpointCommand.Prepare("s1", shape));
    assertThat(connection.preparedName(shape)).isEqualTo("s1");
  }
}
