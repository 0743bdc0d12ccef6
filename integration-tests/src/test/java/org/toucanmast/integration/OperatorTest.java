package org.toucanmast.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import org.toucanmast.cli.ExitCodes;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.platform.PlatformFault;

@ExtendWith(SharedFleet.class)
class OperatorTest {

  @TempDir private Path directory;

  private static String showConfiguration() {
    StringWriter output = new StringWriter();
    assertThat(SharedFleet.fleet().runOperatorCommand(output, "configuration", "show")).isZero();
    return output.toString();
  }

  private Path writeConfiguration(String text) throws IOException {
    return Files.writeString(directory.resolve("changed.ini"), text);
  }

  @Test
  void should_keep_all_changes_of_concurrent_operators() {
    List<CompletableFuture<Integer>> concurrentEdits = new ArrayList<>();
    for (String customer : List.of("clinic-sur", "clinic-centro", "agent-coast")) {
      concurrentEdits.add(
          CompletableFuture.supplyAsync(
              () ->
                  SharedFleet.fleet()
                      .runOperatorCommand("customer", "set", customer, "--rate", "33/s")));
    }

    assertThat(concurrentEdits).allMatch(edit -> edit.join() == ExitCodes.OK);

    assertThat(showConfiguration().split("rate = 33/s", -1)).hasSize(4);
  }

  @Test
  void should_detect_that_a_change_took_effect_when_its_answer_was_lost() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    fleet.control().setFault(fleet.platformAddress(), PlatformFault.LOST_ANSWERS, 0);
    CompletableFuture<Integer> edit =
        CompletableFuture.supplyAsync(
            () -> fleet.runOperatorCommand("customer", "set", "union-tema", "--burst", "21"));
    assertThat(edit.join()).isEqualTo(ExitCodes.OK);
    fleet.control().setFault(fleet.platformAddress(), PlatformFault.NONE, 0);

    assertThat(showConfiguration()).contains("burst = 21");
  }

  @Test
  void should_apply_a_file_when_the_answer_was_lost() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    Path file = writeConfiguration(showConfiguration().replace("burst = 15", "burst = 16"));

    fleet.control().setFault(fleet.platformAddress(), PlatformFault.LOST_ANSWERS, 0);
    int exitCode = fleet.runOperatorCommand("configuration", "apply", file.toString());
    fleet.control().setFault(fleet.platformAddress(), PlatformFault.NONE, 0);

    assertThat(exitCode).isEqualTo(ExitCodes.OK);
    assertThat(showConfiguration()).contains("burst = 16");
  }

  @Test
  void should_refuse_the_whole_configuration_when_a_template_is_unknown() throws IOException {
    String previousConfiguration = showConfiguration();
    StringWriter output = new StringWriter();
    Path file =
        writeConfiguration(previousConfiguration.replace("template = bench", "template = missing"));

    int exitCode =
        SharedFleet.fleet().runOperatorCommand(output, "configuration", "apply", file.toString());

    assertThat(exitCode).isEqualTo(ExitCodes.INVALID);
    assertThat(output.toString())
        .contains(file + ": [customer bench-1] template: names the unknown template 'missing'");
    assertThat(showConfiguration()).isEqualTo(previousConfiguration);
  }

  @Test
  void should_only_show_the_difference_in_a_dry_run() throws IOException {
    String previousConfiguration = showConfiguration();
    StringWriter output = new StringWriter();
    Path file = writeConfiguration(previousConfiguration.replace("burst = 40", "burst = 41"));

    int exitCode =
        SharedFleet.fleet()
            .runOperatorCommand(output, "configuration", "apply", "--dry-run", file.toString());

    assertThat(exitCode).isEqualTo(ExitCodes.OK);
    assertThat(output.toString()).contains("+ [customer bench-1] burst = 41");
    assertThat(showConfiguration()).isEqualTo(previousConfiguration);
  }

  private static String grantKey(String customer) {
    StringWriter output = new StringWriter();
    SharedFleet.fleet().runOperatorCommand(output, "key", "grant", customer);
    return output
        .toString()
        .lines()
        .filter(line -> line.startsWith("key "))
        .findFirst()
        .orElseThrow()
        .substring(4);
  }

  /** Guards against steps of a transaction that run for a customer that no longer holds the key. */
  @Test
  void should_roll_back_a_transaction_whose_key_moves_to_another_customer() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    String key = grantKey("bench-3");
    Caller caller = new Caller(SharedFleet.callerAddress(2), key);
    Caller otherVm = new Caller(SharedFleet.callerAddress(1), key);
    Fleet.waitFor(
        () -> caller.read("stock", "get a", "").outcome().equals("ran"),
        "the granted key to be accepted");
    List<String> transactions = new ArrayList<>();
    for (int number = 0; number < 4; number++) {
      transactions.add(caller.begin("stock").body().getString("transaction"));
      caller.step(transactions.get(number), "statements", "put moved-key 1");
    }

    moveKey(FleetConfiguration.hashOfKey(key), "bench-4");
    Fleet.waitFor(
        () -> caller.step(transactions.get(0), "statements", "get a").status() != 200,
        "the moved key to be refused in a transaction");

    Caller.Answer statement = caller.step(transactions.get(1), "statements", "put moved-key 2");
    Caller.Answer commit = caller.step(transactions.get(2), "commit");
    Caller.Answer forwarded = otherVm.step(transactions.get(3), "commit");
    assertThat(List.of(statement, commit, forwarded))
        .allSatisfy(
            answer -> {
              assertThat(answer.status()).isEqualTo(409);
              assertThat(answer.body().getString("code")).isEqualTo("rolled-back");
              assertThat(answer.outcome()).isEqualTo("not-run");
            });
    assertThat(caller.step(transactions.get(1), "commit").status()).isEqualTo(404);
    assertThat(caller.read("stock", "get moved-key", "").row()).isEmpty();
    fleet.runOperatorCommand(
        "key", "withdraw", "bench-4", FleetConfiguration.hashOfKey(key).substring(0, 12));
  }

  /** Moves a key in one edit, so that there is no time at which nobody holds it. */
  private void moveKey(String hash, String customer) throws IOException {
    String section = "[customer " + customer + "]";
    List<String> lines = new ArrayList<>();
    String sectionOfLine = "";
    for (String line : showConfiguration().replace("," + hash, "").split("\n")) {
      sectionOfLine = line.startsWith("[") ? line : sectionOfLine;
      boolean isKeysOfCustomer = sectionOfLine.equals(section) && line.startsWith("keys = ");
      lines.add(isKeysOfCustomer ? line + "," + hash : line);
    }
    Path file = writeConfiguration(String.join("\n", lines) + "\n");
    int exitCode =
        SharedFleet.fleet().runOperatorCommand("configuration", "apply", file.toString());
    assertThat(exitCode).isEqualTo(ExitCodes.OK);
    assertThat(showConfiguration()).contains(hash);
  }

  @Test
  void should_accept_a_granted_key_until_it_is_withdrawn() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    String key = grantKey("bench-3");
    Caller caller = new Caller(SharedFleet.callerAddress(2), key);

    Fleet.waitFor(
        () -> caller.read("stock", "get a", "").outcome().equals("ran"),
        "the granted key to be accepted");
    String hash = FleetConfiguration.hashOfKey(key);
    fleet.runOperatorCommand("key", "withdraw", "bench-3", hash.substring(0, 12));

    Fleet.waitFor(
        () -> caller.read("stock", "get a", "").status() == 401, "the withdrawn key to be refused");
  }

  @Test
  void should_report_an_unknown_customer() {
    StringWriter output = new StringWriter();

    int exitCode =
        SharedFleet.fleet()
            .runOperatorCommand(output, "customer", "set", "nobody", "--rate", "1/s");

    assertThat(exitCode).isEqualTo(ExitCodes.INVALID);
    assertThat(output.toString()).contains("there is no customer 'nobody'");
  }

  @Test
  void should_refuse_a_rate_without_its_unit() {
    StringWriter output = new StringWriter();

    int exitCode =
        SharedFleet.fleet()
            .runOperatorCommand(output, "customer", "set", "bench-1", "--rate", "80");

    assertThat(exitCode).isEqualTo(ExitCodes.INVALID);
    assertThat(output.toString())
        .contains("[customer bench-1] rate: expected a rate such as 20/s but found '80'");
  }
}
