package org.toucanmast.integration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.toucanmast.integration.Caller.Answer;
import org.toucanmast.standin.fleet.Fleet;

@ExtendWith(SharedFleet.class)
class DuplicateRequestTest {

  @Test
  void should_run_a_request_once_when_copies_arrive_at_all_vms_concurrently() {
    List<CompletableFuture<Answer>> pending = new ArrayList<>();
    for (int copy = 0; copy < 6; copy++) {
      Caller caller = Caller.of(SharedFleet.callerAddress(1 + copy % 3), "bench-1");
      pending.add(caller.writeAsync("stock", "add twins 1", "twin-request"));
    }

    List<Answer> answers = pending.stream().map(CompletableFuture::join).toList();

    assertThat(answers).allMatch(answer -> answer.outcome().equals("ran"));
    assertThat(answers).allMatch(answer -> answer.row().equals("1"));
    assertThat(answers.stream().filter(answer -> !answer.body().getBoolean("duplicate")))
        .hasSize(1);
  }

  @Test
  void should_run_a_request_once_when_it_is_retried_after_an_unknown_outcome() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    String control = SharedFleet.databaseControl("requests");
    Caller first = Caller.of(SharedFleet.callerAddress(1), "clinic-norte");
    Caller second = Caller.of(SharedFleet.callerAddress(2), "clinic-norte");
    String primary = primaryOf(fleet, "requests");

    fleet.control().setEndpoint(control, primary, new JsonObject().put("loseAnswers", true));
    Answer lost = first.write("requests", "add pairs 1", "pair-1");
    fleet.control().setEndpoint(control, primary, new JsonObject());
    Answer retried = second.write("requests", "add pairs 1", "pair-1");

    assertThat(lost.outcome()).isEqualTo("unknown");
    assertThat(retried.outcome()).isEqualTo("ran");
    assertThat(retried.body().getBoolean("duplicate")).isTrue();
    assertThat(retried.row()).isEqualTo("1");
  }

  /** The second write was acknowledged with the rows of the first, and did not run. */
  @Test
  void should_run_the_writes_of_two_customers_that_chose_the_same_request_id() {
    Caller first = Caller.of(SharedFleet.callerAddress(1), "clinic-norte");
    Caller second = Caller.of(SharedFleet.callerAddress(2), "clinic-centro");

    Answer one = first.write("requests", "put own-first 1", "1");
    Answer other = second.write("requests", "put own-second 2", "1");
    Answer repeated = first.write("requests", "put own-first 1", "1");

    assertThat(one.body().getBoolean("duplicate")).isFalse();
    assertThat(other.body().getBoolean("duplicate")).isFalse();
    assertThat(other.row()).isEqualTo("2");
    assertThat(repeated.body().getBoolean("duplicate")).isTrue();
  }

  /** The commit of the second transaction was taken for a repetition, and kept nothing. */
  @Test
  void should_commit_a_transaction_with_the_request_id_of_another_customer() {
    Caller first = Caller.of(SharedFleet.callerAddress(1), "clinic-norte");
    Caller second = Caller.of(SharedFleet.callerAddress(2), "clinic-centro");
    first.write("requests", "put before-commit 1", "commit-1");

    String transaction = second.begin("requests").body().getString("transaction");
    second.step(transaction, "statements", "put in-commit 2");
    second.post("/v1/transactions/" + transaction + "/commit", new JsonObject(), "commit-1", "");

    assertThat(second.read("requests", "get in-commit", "").row()).isEqualTo("2");
  }

  @Test
  void should_read_at_the_primary_after_an_unknown_outcome() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    String control = SharedFleet.databaseControl("requests");
    Caller caller = Caller.of(SharedFleet.callerAddress(1), "clinic-norte");
    String primary = primaryOf(fleet, "requests");

    fleet.control().setEndpoint(control, primary, new JsonObject().put("loseAnswers", true));
    Answer lost = caller.write("requests", "put uncertain 1", "");
    fleet.control().setEndpoint(control, primary, new JsonObject());
    Answer read = caller.read("requests", "get uncertain", lost.session());

    assertThat(lost.outcome()).isEqualTo("unknown");
    assertThat(read.row()).isEqualTo("1");
    assertThat(read.body().getBoolean("replica")).isFalse();
  }

  static String primaryOf(Fleet fleet, String database) throws IOException {
    return fleet
        .control()
        .status(fleet.vms().get("vm-1").adminAddress())
        .getJsonObject("databases")
        .getJsonObject(database)
        .getString("primary");
  }
}
