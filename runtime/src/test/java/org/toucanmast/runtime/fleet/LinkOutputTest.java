package org.toucanmast.runtime.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.link.OutputBudget;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.schema.FleetFrame;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.MirrorObject;
import org.toucanmast.schema.MirrorPush;

/** Guards against a heap that is filled by what a peer that does not read is due. */
@Timeout(60)
class LinkOutputTest {
  private static final long MAXIMUM_BYTES = 8 * 1024 * 1024;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final MirrorPush LONG_CONTENT =
      MirrorPush.newBuilder()
          .setKind("config")
          .addObjects(MirrorObject.newBuilder().setContent("x".repeat(1024 * 1024)))
          .build();
  private static final StatementRequest READ = Statements.request(Operation.READ, "READ x");

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final OutputBudget budget = new OutputBudget(MAXIMUM_BYTES);
  private final AtomicReference<NetSocket> peer = new AtomicReference<>();
  private final AtomicLong receivedBytes = new AtomicLong();
  private NetClient client;
  private LinkOutput output;

  @BeforeEach
  void connectToPeerThatDoesNotRead() throws Exception {
    NetServer server = vertx.createNetServer();
    server.connectHandler(
        socket -> {
          socket.pause();
          socket.handler(bytes -> receivedBytes.addAndGet(bytes.length()));
          peer.set(socket);
        });
    int port = resultOf(() -> server.listen(0, "127.0.0.1")).actualPort();
    client = vertx.createNetClient();
    NetSocket socket = resultOf(() -> client.connect(port, "127.0.0.1"));
    output = new LinkOutput(socket, budget, new EventLog("vm-1", OutputStream.nullOutputStream()));
    await().atMost(TIMEOUT).until(() -> peer.get() != null);
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  private <T> T resultOf(Supplier<Future<T>> action) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    vertx.runOnContext(
        ignored -> action.get().onSuccess(done::complete).onFailure(done::completeExceptionally));
    return done.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private void onEventLoop(Runnable action) throws Exception {
    resultOf(
        () -> {
          action.run();
          return Future.succeededFuture();
        });
  }

  private long pendingBytes() throws Exception {
    return resultOf(() -> Future.succeededFuture(budget.pendingBytes()));
  }

  private void fill() throws Exception {
    for (int push = 0; push < 100; push++) {
      onEventLoop(() -> output.writeMirror(LONG_CONTENT));
    }
  }

  @Test
  void should_not_queue_ever_more_content_for_a_peer_that_does_not_read() throws Exception {
    fill();

    assertThat(pendingBytes()).isBetween(1L, MAXIMUM_BYTES / 2);
    onEventLoop(() -> peer.get().resume());
    await().atMost(TIMEOUT).until(() -> pendingBytes() == 0);
    onEventLoop(() -> output.writeMirror(LONG_CONTENT));
    long before = receivedBytes.get();
    await().atMost(TIMEOUT).until(() -> receivedBytes.get() >= before);
  }

  @Test
  void should_send_heartbeats_and_replace_long_results_while_the_budget_is_used_up()
      throws Exception {
    fill();
    long before = pendingBytes();
    StatementResult result =
        new StatementResult(
            ResultCode.SUCCESS, List.of("x".repeat(1024 * 1024)), "signed", Position.NONE, 0);
    StatementResult shortResult =
        new StatementResult(ResultCode.SUCCESS, List.of("x"), "signed", Position.NONE, 0);

    FleetFrame longAnswer = resultOf(() -> Future.succeededFuture(output.answer(1, READ, result)));
    FleetFrame shortAnswer =
        resultOf(() -> Future.succeededFuture(output.answer(2, READ, shortResult)));
    onEventLoop(
        () -> output.write(FleetFrame.newBuilder().setPulse(FleetPulse.newBuilder()).build()));

    assertThat(longAnswer.getAnswer().getRowsList()).isEmpty();
    assertThat(longAnswer.getAnswer().getText()).isEqualTo(LinkOutput.FULL);
    assertThat(longAnswer.getAnswer().getCode()).isEqualTo(ResultCode.FAILED.ordinal());
    assertThat(shortAnswer.getAnswer().getRowsList()).containsExactly("x");
    assertThat(pendingBytes()).isGreaterThan(before);
  }

  @Test
  void should_give_the_budget_back_when_the_link_is_lost() throws Exception {
    fill();

    onEventLoop(() -> peer.get().close());

    await().atMost(TIMEOUT).until(() -> pendingBytes() == 0);
  }
}
