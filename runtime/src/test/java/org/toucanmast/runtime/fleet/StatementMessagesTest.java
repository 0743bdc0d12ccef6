package org.toucanmast.runtime.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.schema.StatementCall;

class StatementMessagesTest {
  private static final KeyClaim<KeyFingerprint> CLAIM =
      new KeyClaim<>(KeyFingerprint.of("key"), "customer", true, 7);
  private static final StatementRequest REQUEST =
      new StatementRequest(
          "id",
          "group",
          CLAIM,
          Operation.WRITE,
          "WRITE a 1",
          Optional.empty(),
          Map.of(),
          RouteKind.PRIMARY,
          0,
          Position.NONE,
          StatementRequest.NO_TRANSACTION,
          false,
          1,
          1_000,
          OptionalLong.empty(),
          false);

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
