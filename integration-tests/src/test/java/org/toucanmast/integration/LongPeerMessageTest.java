package org.toucanmast.integration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.Collections;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.toucanmast.integration.Caller.Answer;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;

/**
 * Tests that a message that is longer than links between VMs accept closes no link, on which the
 * transaction steps of other callers would be lost.
 */
class LongPeerMessageTest {
  private static Fleet fleet;

  @BeforeAll
  static void start() throws IOException {
    fleet =
        Fleet.start(
            FleetPlan.of(Deployment.QUICKSTART).withSetting("peers.maximum-message-size", "16KiB"));
  }

  @AfterAll
  static void stop() throws IOException {
    fleet.close();
  }

  private static Caller caller(String vm) {
    return Caller.of(fleet.vms().get(vm).callerAddress(), "bench-1");
  }

  private static String begin() {
    return caller("vm-1").begin("stock").body().getString("transaction");
  }

  private static double refusedLinks(String vm) {
    try {
      return fleet
          .control()
          .metrics(fleet.vms().get(vm).adminAddress())
          .lines()
          .filter(line -> line.startsWith("peer_links_refused_total "))
          .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
          .sum();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static double refusedLinks() {
    return fleet.vms().keySet().stream().mapToDouble(LongPeerMessageTest::refusedLinks).sum();
  }

  /** The receiver closed the link, and the steps of other transactions on it were lost. */
  @Test
  void should_refuse_a_step_that_is_too_long_to_be_forwarded() {
    double refusedBefore = refusedLinks();
    String transaction = begin();
    String other = begin();
    Caller second = caller("vm-2");

    Answer tooLong = second.step(transaction, "statements", "put long " + "x".repeat(20_000));
    Answer continued = second.step(transaction, "statements", "put long short");
    Answer ofOther = second.step(other, "commit");

    assertThat(tooLong.status()).isEqualTo(413);
    assertThat(tooLong.outcome()).isEqualTo("not-run");
    assertThat(continued.outcome()).isEqualTo("ran");
    assertThat(ofOther.outcome()).isEqualTo("ran");
    assertThat(refusedLinks()).isEqualTo(refusedBefore);
  }

  /** The VM that had forwarded the step closed the link, and waited for no answer. */
  @Test
  void should_report_that_an_answer_is_too_long_to_be_returned() {
    caller("vm-1").write("stock", "put row " + "x".repeat(2_000), "");
    double refusedBefore = refusedLinks();
    String transaction = begin();
    String[] reads = Collections.nCopies(20, "get row").toArray(String[]::new);
    String slow = begin();
    CompletableFuture<Answer> ofOther =
        CompletableFuture.supplyAsync(() -> caller("vm-2").step(slow, "statements", "get row"));

    Answer tooLong = caller("vm-2").step(transaction, "statements", reads);
    JsonObject body = tooLong.body();

    assertThat(body.getString("outcome")).isEqualTo("unknown");
    assertThat(body.getString("message")).contains("too long");
    assertThat(ofOther.join().outcome()).isEqualTo("ran");
    assertThat(caller("vm-2").step(transaction, "rollback").outcome()).isEqualTo("ran");
    assertThat(refusedLinks()).isEqualTo(refusedBefore);
  }
}
