package org.toucanmast.integration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.toucanmast.integration.Caller.Answer;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;

@ExtendWith(SharedFleet.class)
class TransactionTest {

  private static String begin(Caller caller) {
    Answer begun = caller.begin("stock");
    assertThat(begun.outcome()).isEqualTo("ran");
    return begun.body().getString("transaction");
  }

  @Test
  void should_make_all_statements_visible_only_after_the_commit() {
    Caller caller = Caller.of(SharedFleet.callerAddress(1), "bench-1");
    String transaction = begin(caller);

    caller.step(transaction, "statements", "put both-a 1");
    caller.step(transaction, "statements", "put both-b 2", "get both-a");
    String rowBeforeCommit = caller.read("stock", "get both-a", "").row();
    Answer committed = caller.step(transaction, "commit");

    assertThat(rowBeforeCommit).isEmpty();
    assertThat(committed.outcome()).isEqualTo("ran");
    assertThat(caller.read("stock", "get both-b", committed.session()).row()).isEqualTo("2");
  }

  @Test
  void should_discard_all_statements_on_rollback() {
    Caller caller = Caller.of(SharedFleet.callerAddress(1), "bench-1");
    String transaction = begin(caller);

    caller.step(transaction, "statements", "put rolled-back 1");
    assertThat(caller.step(transaction, "rollback").outcome()).isEqualTo("ran");

    assertThat(caller.read("stock", "get rolled-back", "").row()).isEmpty();
    assertThat(caller.step(transaction, "commit").status()).isEqualTo(404);
  }

  @Test
  void should_forward_statements_and_commit_to_the_vm_of_the_transaction() {
    String transaction = begin(Caller.of(SharedFleet.callerAddress(1), "bench-1"));

    Answer changed =
        Caller.of(SharedFleet.callerAddress(2), "bench-1")
            .step(transaction, "statements", "put forwarded 1");
    Answer committed =
        Caller.of(SharedFleet.callerAddress(3), "bench-1").step(transaction, "commit");

    assertThat(changed.outcome()).isEqualTo("ran");
    assertThat(committed.outcome()).isEqualTo("ran");
    assertThat(
            Caller.of(SharedFleet.callerAddress(2), "bench-1")
                .read("stock", "get forwarded", committed.session())
                .row())
        .isEqualTo("1");
  }

  /** Callers whose URL library encodes "~" could not continue their transactions. */
  @Test
  void should_continue_a_transaction_whose_handle_is_percent_encoded() {
    Caller caller = Caller.of(SharedFleet.callerAddress(1), "bench-1");
    String transaction = begin(caller).replace("~", "%7E");

    assertThat(caller.step(transaction, "statements", "put encoded 1").outcome()).isEqualTo("ran");
    assertThat(caller.step(transaction, "commit").outcome()).isEqualTo("ran");
  }

  @Test
  void should_hide_a_transaction_from_other_customers() {
    String transaction = begin(Caller.of(SharedFleet.callerAddress(1), "bench-1"));

    Answer otherCustomer =
        Caller.of(SharedFleet.callerAddress(1), "bench-2")
            .step(transaction, "statements", "put a 1");
    Answer forwarded =
        Caller.of(SharedFleet.callerAddress(2), "bench-2").step(transaction, "commit");

    assertThat(otherCustomer.status()).isEqualTo(404);
    assertThat(forwarded.status()).isEqualTo(404);
    assertThat(
            Caller.of(SharedFleet.callerAddress(1), "bench-1")
                .step(transaction, "rollback")
                .outcome())
        .isEqualTo("ran");
  }

  @Test
  void should_isolate_two_transactions_of_one_caller() {
    Caller caller = Caller.of(SharedFleet.callerAddress(1), "bench-1");
    String first = begin(caller);
    String second = begin(caller);

    caller.step(first, "statements", "put mixed-first 1");
    caller.step(second, "statements", "put mixed-second 1");
    caller.step(first, "rollback");
    Answer committed = caller.step(second, "commit");

    assertThat(caller.read("stock", "get mixed-first", committed.session()).row()).isEmpty();
    assertThat(caller.read("stock", "get mixed-second", committed.session()).row()).isEqualTo("1");
  }

  @Test
  void should_roll_back_a_transaction_when_its_vm_is_killed() throws IOException {
    try (Fleet fleet = Fleet.start(FleetPlan.of(Deployment.QUICKSTART))) {
      Caller owner = Caller.of(fleet.vms().get("vm-1").callerAddress(), "bench-1");
      Caller other = Caller.of(fleet.vms().get("vm-2").callerAddress(), "bench-1");
      String transaction = begin(owner);
      owner.step(transaction, "statements", "put uncommitted 1");

      fleet.vms().get("vm-1").process().kill();
      Answer late = other.step(transaction, "commit");

      assertThat(late.outcome()).isIn("not-run", "unknown");
      assertThat(other.read("stock", "get uncommitted", "").row()).isEmpty();
      Fleet.waitFor(
          () -> openTransactions(fleet) == 0, "the database to roll back the open transaction");
    }
  }

  private static long openTransactions(Fleet fleet) {
    try {
      return fleet.control().endpoints(fleet.databaseControls().get("stock")).stream()
          .mapToLong(each -> ((JsonObject) each).getLong("openTransactions"))
          .sum();
    } catch (IOException e) {
      return -1;
    }
  }
}
