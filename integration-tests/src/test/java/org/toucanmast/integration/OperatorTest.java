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

  private static String show() {
    StringWriter output = new StringWriter();
    assertThat(SharedFleet.fleet().runOperatorCommand(output, "configuration", "show")).isZero();
    return output.toString();
  }

  private Path write(String text) throws IOException {
    return Files.writeString(directory.resolve("changed.ini"), text);
  }

  @Test
  void should_keep_both_changes_of_racing_operators() {
    List<CompletableFuture<Integer>> racing = new ArrayList<>();
    for (String customer : List.of("clinic-sur", "clinic-centro", "agent-coast")) {
      racing.add(
          CompletableFuture.supplyAsync(
              () ->
                  SharedFleet.fleet()
                      .runOperatorCommand("customer", "set", customer, "--rate", "33/s")));
    }

    assertThat(racing).allMatch(each -> each.join() == ExitCodes.OK);

    assertThat(show().split("rate = 33/s", -1)).hasSize(4);
  }

  @Test
  void should_find_out_that_a_change_took_effect_although_its_answer_was_lost() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    fleet.control().setFault(fleet.platformAddress(), PlatformFault.LOST_ANSWERS, 0);
    CompletableFuture<Integer> edit =
        CompletableFuture.supplyAsync(
            () -> fleet.runOperatorCommand("customer", "set", "union-tema", "--burst", "21"));
    assertThat(edit.join()).isEqualTo(ExitCodes.OK);
    fleet.control().setFault(fleet.platformAddress(), PlatformFault.NONE, 0);

    assertThat(show()).contains("burst = 21");
  }

  @Test
  void should_apply_a_file_although_the_answer_was_lost() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    Path file = write(show().replace("burst = 15", "burst = 16"));

    fleet.control().setFault(fleet.platformAddress(), PlatformFault.LOST_ANSWERS, 0);
    int code = fleet.runOperatorCommand("configuration", "apply", file.toString());
    fleet.control().setFault(fleet.platformAddress(), PlatformFault.NONE, 0);

    assertThat(code).isEqualTo(ExitCodes.OK);
    assertThat(show()).contains("burst = 16");
  }

  @Test
  void should_refuse_a_configuration_with_an_unknown_template_whole() throws IOException {
    String before = show();
    StringWriter output = new StringWriter();
    Path file = write(before.replace("template = bench", "template = missing"));

    int code =
        SharedFleet.fleet().runOperatorCommand(output, "configuration", "apply", file.toString());

    assertThat(code).isEqualTo(ExitCodes.INVALID);
    assertThat(output.toString())
        .contains(file + ": [customer bench-1] template: names the unknown template 'missing'");
    assertThat(show()).isEqualTo(before);
  }

  @Test
  void should_only_show_the_difference_in_a_dry_run() throws IOException {
    String before = show();
    StringWriter output = new StringWriter();
    Path file = write(before.replace("burst = 40", "burst = 41"));

    int code =
        SharedFleet.fleet()
            .runOperatorCommand(output, "configuration", "apply", "--dry-run", file.toString());

    assertThat(code).isEqualTo(ExitCodes.OK);
    assertThat(output.toString()).contains("+ [customer bench-1] burst = 41");
    assertThat(show()).isEqualTo(before);
  }

  @Test
  void should_grant_a_key_that_works_and_withdraw_it() throws IOException {
    Fleet fleet = SharedFleet.fleet();
    StringWriter output = new StringWriter();
    fleet.runOperatorCommand(output, "key", "grant", "bench-3");
    String key =
        output
            .toString()
            .lines()
            .filter(l -> l.startsWith("key "))
            .findFirst()
            .orElseThrow()
            .substring(4);
    Caller caller = new Caller(SharedFleet.vm(2), key);

    Fleet.waitFor(
        () -> caller.read("stock", "get a", "").outcome().equals("ran"), "the key to work");
    String hash = FleetConfiguration.hashOfKey(key);
    fleet.runOperatorCommand("key", "withdraw", "bench-3", hash.substring(0, 12));

    Fleet.waitFor(() -> caller.read("stock", "get a", "").status() == 401, "the key to stop");
  }

  @Test
  void should_name_the_mistake_in_a_command() {
    StringWriter output = new StringWriter();

    int code =
        SharedFleet.fleet()
            .runOperatorCommand(output, "customer", "set", "nobody", "--rate", "1/s");

    assertThat(code).isEqualTo(ExitCodes.INVALID);
    assertThat(output.toString()).contains("there is no customer 'nobody'");
  }

  @Test
  void should_refuse_a_rate_without_its_unit() {
    StringWriter output = new StringWriter();

    int code =
        SharedFleet.fleet()
            .runOperatorCommand(output, "customer", "set", "bench-1", "--rate", "80");

    assertThat(code).isEqualTo(ExitCodes.INVALID);
    assertThat(output.toString())
        .contains("[customer bench-1] rate: expected a rate such as 20/s but found '80'");
  }
}
