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
  void should_run_once_when_the_same_id_comes_to_all_vms_at_once() {
    List<CompletableFuture<Answer>> running = new ArrayList<>();
    for (int copy = 0; copy < 6; copy++) {
      Caller caller = Caller.of(SharedFleet.vm(1 + copy % 3), "bench-1");
      running.add(caller.writeLater("stock", "add twins 1", "twin-request"));
    }

    List<Answer> answers = running.stream().map(CompletableFuture::join).toList();

    assertThat(answers).allMatch(answer -> answer.outcome().equals("ran"));
    assertThat(answers).allMatch(answer -> answer.row().equals("1"));
    assertThat(answers.stream().filter(answer -> !answer.body().getBoolean("duplicate")))
        .hasSize(1);
  }

  @Test
  void should_run_once_when_the_id_comes_again_after_an_unknown_outcome() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    String control = SharedFleet.control("requests");
    Caller first = Caller.of(SharedFleet.vm(1), "clinic-norte");
    Caller second = Caller.of(SharedFleet.vm(2), "clinic-norte");
    String primary = primaryOf(fleet, "requests");

    fleet.control().setEndpoint(control, primary, new JsonObject().put("loseAnswers", true));
    Answer lost = first.write("requests", "add pairs 1", "pair-1");
    fleet.control().setEndpoint(control, primary, new JsonObject());
    Answer again = second.write("requests", "add pairs 1", "pair-1");

    assertThat(lost.outcome()).isEqualTo("unknown");
    assertThat(again.outcome()).isEqualTo("ran");
    assertThat(again.body().getBoolean("duplicate")).isTrue();
    assertThat(again.row()).isEqualTo("1");
  }

  @Test
  void should_read_at_the_primary_after_an_unknown_outcome() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    String control = SharedFleet.control("requests");
    Caller caller = Caller.of(SharedFleet.vm(1), "clinic-norte");
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
