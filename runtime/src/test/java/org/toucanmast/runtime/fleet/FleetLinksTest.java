package org.toucanmast.runtime.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.link.ConnectBackoff;
import org.toucanmast.core.link.LinkUse;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.MirrorPull;
import org.toucanmast.schema.MirrorPush;
import org.toucanmast.schema.TokenAsk;
import org.toucanmast.schema.TokenGrant;
import org.toucanmast.schema.TokenReturn;

/** Tests links between two VMs on the loopback interface. */
@Timeout(30)
class FleetLinksTest {
  private static final StatementRequest WRITE = Statements.request(Operation.WRITE, "WRITE x y");

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final List<String> heartbeats = new CopyOnWriteArrayList<>();
  private final List<String> lostRuns = new CopyOnWriteArrayList<>();
  private final List<Consumer<StatementResult>> unanswered = new CopyOnWriteArrayList<>();
  private final List<Long> rolledBack = new CopyOnWriteArrayList<>();
  private volatile boolean answers = true;
  private final FleetLinks first = links("vm-1");
  private final FleetLinks second = links("vm-2");
  private final int port = freePort();

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private FleetLinks links(String vm) {
    return links(vm, new VmClock());
  }

  private FleetLinks links(String vm, VmClock clock) {
    return links(vm, clock, 1);
  }

  private FleetLinks links(String vm, VmClock clock, long incarnation) {
    return new FleetLinks(
        vertx.createNetClient(),
        vertx.createNetServer(),
        clock,
        new EventLog(vm, OutputStream.nullOutputStream()),
        new RecordingHandler(vm),
        vm,
        incarnation);
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  private <T> T onEventLoop(Supplier<T> action) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    vertx.runOnContext(ignored -> done.complete(action.get()));
    return done.get(10, TimeUnit.SECONDS);
  }

  private void startSecond() throws Exception {
    CompletableFuture<Object> listening = new CompletableFuture<>();
    vertx.runOnContext(
        ignored -> second.start("127.0.0.1", port).onSuccess(done -> listening.complete(true)));
    listening.get(10, TimeUnit.SECONDS);
  }

  private void knowSecond() throws Exception {
    onEventLoop(
        () -> {
          first.add(new FleetMember("vm-2", "127.0.0.1", port, "a", 1, 1));
          return true;
        });
  }

  private String outcomeOfWrite() throws Exception {
    return beginWrite(first).get(10, TimeUnit.SECONDS);
  }

  private CompletableFuture<String> beginWrite(FleetLinks links) {
    CompletableFuture<String> outcome = new CompletableFuture<>();
    vertx.runOnContext(ignored -> write(links, outcome));
    return outcome;
  }

  private static void write(FleetLinks links, CompletableFuture<String> outcome) {
    write(links.availableLink("vm-2").orElseThrow(), outcome);
  }

  private static void write(FleetLink link, CompletableFuture<String> outcome) {
    call(link, WRITE, outcome);
  }

  private static void call(
      FleetLink link, StatementRequest request, CompletableFuture<String> outcome) {
    link.call(
        request,
        new FleetLink.CallHandler() {
          @Override
          public void onResult(StatementResult result) {
            outcome.complete(result.isSuccess() ? "result" : result.code().name());
          }

          @Override
          public void onLost() {
            outcome.complete("lost");
          }

          @Override
          public void onNotSent() {
            outcome.complete("not sent");
          }
        });
  }

  /** The call was kept and its frame was not: the caller never got an answer. */
  @Test
  void should_give_a_result_if_the_peer_becomes_suspected_while_a_statement_is_sent()
      throws Exception {
    AtomicLong time = new AtomicLong(1_000);
    AtomicLong step = new AtomicLong();
    FleetLinks links = links("vm-1", new VmClock(() -> time.getAndAdd(step.get()), time::get));
    CompletableFuture<String> firstOutcome = new CompletableFuture<>();
    CompletableFuture<String> secondOutcome = new CompletableFuture<>();
    vertx.runOnContext(
        ignored -> {
          links.add(new FleetMember("vm-2", "127.0.0.1", port, "a", 1, 1));
          write(links, firstOutcome);
          // The connection is being opened; the next reading of the clock but one is too late.
          time.addAndGet(ConnectBackoff.CONNECT_WAIT_IN_MILLISECONDS - 1);
          step.set(1);
          write(links, secondOutcome);
        });

    assertThat(firstOutcome.get(10, TimeUnit.SECONDS)).isEqualTo("not sent");
    assertThat(secondOutcome.get(10, TimeUnit.SECONDS)).isEqualTo("not sent");
  }

  /** Without a limit of its own, a VM waited forever for an answer that a gateway had lost. */
  @Test
  void should_give_up_an_answer_that_does_not_come_after_the_deadline() throws Exception {
    startSecond();
    knowSecond();
    answers = false;
    onEventLoop(
        () -> {
          vertx.setPeriodic(FleetLinks.TICK_INTERVAL_IN_MILLISECONDS, fired -> first.tick());
          return true;
        });

    assertThat(outcomeOfWrite()).isEqualTo("lost");
    assertThat(onEventLoop(first::openLinks)).isEqualTo(1);
  }

  /** Sends a write that the second VM has and does not answer yet. */
  private CompletableFuture<String> beginUnansweredWrite() throws Exception {
    startSecond();
    knowSecond();
    answers = false;
    CompletableFuture<String> outcome = beginWrite(first);
    await().until(() -> unanswered.size() == 1);
    return outcome;
  }

  private void answerWrite() throws Exception {
    onEventLoop(
        () -> {
          unanswered.get(0).accept(StatementResult.emptySuccess());
          return true;
        });
  }

  /** A write that ran was reported in doubt: its answer came after the news of the removal. */
  @Test
  void should_receive_the_answer_of_a_peer_whose_entry_is_removed_meanwhile() throws Exception {
    CompletableFuture<String> outcome = beginUnansweredWrite();
    FleetLink link = onEventLoop(() -> first.availableLink("vm-2").orElseThrow());

    onEventLoop(
        () -> {
          first.remove("vm-2");
          return true;
        });
    CompletableFuture<String> later = new CompletableFuture<>();
    vertx.runOnContext(ignored -> write(link, later));
    assertThat(later.get(10, TimeUnit.SECONDS)).isEqualTo("not sent");
    answerWrite();

    assertThat(outcome.get(10, TimeUnit.SECONDS)).isEqualTo("result");
    await().until(() -> lostRuns.contains("vm-1 1 at vm-2"));
  }

  @Test
  void should_receive_the_answer_of_a_peer_whose_address_changes_meanwhile() throws Exception {
    CompletableFuture<String> outcome = beginUnansweredWrite();

    onEventLoop(
        () -> {
          first.add(new FleetMember("vm-2", "127.0.0.2", port, "a", 1, 2));
          return true;
        });
    answerWrite();

    assertThat(outcome.get(10, TimeUnit.SECONDS)).isEqualTo("result");
    await().until(() -> lostRuns.contains("vm-1 1 at vm-2"));
  }

  /** Guards against a link that stays open, and a caller that waits, for an answer that is lost. */
  @Test
  void should_give_up_an_answer_of_a_removed_peer_that_does_not_come() throws Exception {
    CompletableFuture<String> outcome = beginUnansweredWrite();

    onEventLoop(
        () -> {
          first.remove("vm-2");
          vertx.setPeriodic(FleetLinks.TICK_INTERVAL_IN_MILLISECONDS, fired -> first.tick());
          return true;
        });

    assertThat(outcome.get(10, TimeUnit.SECONDS)).isEqualTo("lost");
    await().until(() -> lostRuns.contains("vm-1 1 at vm-2"));
  }

  /** The link was closed, and the statements of all other callers on it were lost. */
  @Test
  void should_keep_the_link_when_a_result_is_too_long_for_it() throws Exception {
    CompletableFuture<String> outcome = beginUnansweredWrite();
    CompletableFuture<String> other = beginWrite(first);
    await().until(() -> unanswered.size() == 2);
    List<String> rows = Collections.nCopies(9_000, "x".repeat(1_000));
    onEventLoop(
        () -> {
          unanswered
              .get(1)
              .accept(new StatementResult(ResultCode.SUCCESS, rows, "", Position.NONE, 17));
          return true;
        });

    assertThat(other.get(10, TimeUnit.SECONDS)).isEqualTo("IN_DOUBT");
    assertThat(outcome).isNotDone();
    // The session takes the transaction for failed; without this it kept its locks.
    await().untilAsserted(() -> assertThat(rolledBack).containsExactly(17L));
    answerWrite();
    assertThat(outcome.get(10, TimeUnit.SECONDS)).isEqualTo("result");
  }

  /** The link was closed, and the statements of all other callers on it were lost. */
  @Test
  void should_refuse_only_a_statement_that_is_too_long_for_the_link() throws Exception {
    CompletableFuture<String> outcome = beginUnansweredWrite();
    CompletableFuture<String> tooLong = new CompletableFuture<>();
    vertx.runOnContext(
        ignored ->
            call(
                first.availableLink("vm-2").orElseThrow(),
                inTransaction(17, "x".repeat(9_000_000)),
                tooLong));

    assertThat(tooLong.get(10, TimeUnit.SECONDS)).isEqualTo("TOO_BIG");
    await().untilAsserted(() -> assertThat(rolledBack).containsExactly(17L));
    answerWrite();
    assertThat(outcome.get(10, TimeUnit.SECONDS)).isEqualTo("result");
  }

  private static StatementRequest inTransaction(long transaction, String text) {
    return Statements.request(Operation.TRANSACTION_WRITE, text, transaction);
  }

  /**
   * A VM that had lost power was back before its former link counted as silent: its transactions
   * stayed open, and held their locks, until they had been idle for long.
   */
  @Test
  void should_lose_the_former_run_of_a_vm_that_has_opened_a_link_again() throws Exception {
    startSecond();
    knowSecond();
    FleetLinks restarted = links("vm-1", new VmClock(), 2);
    assertThat(outcomeOfWrite()).isEqualTo("result");
    onEventLoop(
        () -> {
          restarted.add(new FleetMember("vm-2", "127.0.0.1", port, "a", 1, 1));
          return true;
        });
    assertThat(beginWrite(restarted).get(10, TimeUnit.SECONDS)).isEqualTo("result");
    assertThat(lostRuns).isEmpty();

    onEventLoop(
        () -> {
          first.remove("vm-2");
          return true;
        });

    await().untilAsserted(() -> assertThat(lostRuns).containsExactly("vm-1 1 at vm-2"));
  }

  @Test
  void should_open_a_link_with_the_first_statement() throws Exception {
    startSecond();
    knowSecond();
    assertThat(onEventLoop(first::openLinks)).isZero();

    assertThat(outcomeOfWrite()).isEqualTo("result");
    assertThat(onEventLoop(first::openLinks)).isEqualTo(1);
  }

  @Test
  void should_report_a_write_as_not_sent_if_no_connection_could_be_opened() throws Exception {
    knowSecond();

    assertThat(outcomeOfWrite()).isEqualTo("not sent");
    assertThat(onEventLoop(() -> first.availableLink("vm-2").isPresent())).isFalse();
    assertThat(onEventLoop(() -> first.isSuspected("vm-2"))).isTrue();
  }

  @Test
  void should_keep_a_link_only_while_it_is_needed() throws Exception {
    startSecond();
    knowSecond();
    onEventLoop(
        () -> {
          first.setPeers(LinkUse.MONITORING, Set.of("vm-2"));
          return true;
        });
    await().until(() -> onEventLoop(first::openLinks) == 1);
    assertThat(heartbeats).contains("vm-1 to vm-2");

    onEventLoop(
        () -> {
          first.setPeers(LinkUse.MONITORING, Set.of());
          first.tick();
          return true;
        });

    assertThat(onEventLoop(first::openLinks)).isZero();
  }

  /** Answers statements with a success and records heartbeats. */
  private final class RecordingHandler implements FleetMessageHandler {
    private final String vm;

    private RecordingHandler(String vm) {
      this.vm = vm;
    }

    @Override
    public void execute(
        StatementRequest request, VmRun origin, Consumer<StatementResult> consumer) {
      if (request.operation() == Operation.ROLLBACK) {
        rolledBack.add(request.transaction());
      }
      if (answers) {
        consumer.accept(StatementResult.emptySuccess());
      } else {
        unanswered.add(consumer);
      }
    }

    @Override
    public void onOriginLost(VmRun origin) {
      lostRuns.add(origin.vm() + " " + origin.incarnation() + " at " + vm);
    }

    @Override
    public FleetPulse heartbeatFor(String peer) {
      heartbeats.add(vm + " to " + peer);
      return FleetPulse.getDefaultInstance();
    }

    @Override
    public void onHeartbeat(String peer, FleetPulse heartbeat) {
      // Recorded when it is sent.
    }

    @Override
    public TokenGrant onTokenRequest(TokenAsk request) {
      return TokenGrant.getDefaultInstance();
    }

    @Override
    public void onTokenReturn(TokenReturn unused) {
      // No tokens are held.
    }

    @Override
    public void onTokenGrant(String holder, TokenGrant grant) {
      // No tokens are requested.
    }

    @Override
    public MirrorPush mirrorContent(MirrorPull request) {
      return MirrorPush.getDefaultInstance();
    }

    @Override
    public void onMirrorContent(String peer, MirrorPush content) {
      // No mirror is kept.
    }

    @Override
    public void onReachabilityChanged() {
      // The tests look at the links themselves.
    }
  }
}
