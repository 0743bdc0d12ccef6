package org.toucanmast.runtime.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.schema.StatementCall;

class StatementMessagesTest {
  private static final StatementRequest REQUEST = Statements.request(Operation.WRITE, "WRITE a 1");

  @Test
  void should_pass_on_for_whom_a_statement_runs_and_by_which_key() {
    StatementCall call = StatementMessages.toCall(1, REQUEST);

    assertThat(StatementMessages.toRequest(call)).isEqualTo(REQUEST);
    assertThat(call.toByteString().toStringUtf8()).doesNotContain("key");
  }

  @Test
  void should_take_a_statement_of_a_build_without_claims_as_it_is() {
    StatementCall call =
        StatementMessages.toCall(1, REQUEST).toBuilder()
            .clearKeyHigh()
            .clearKeyLow()
            .clearConfigurationVersion()
            .build();
    Catalog catalog = new Catalog(9, Map.of(), Map.of(), Map.of(), 1_000);

    StatementRequest request = StatementMessages.toRequest(call);

    assertThat(request.customer()).isEqualTo("customer");
    assertThat(request.claim().isHeldIn(catalog)).isTrue();
  }
}
