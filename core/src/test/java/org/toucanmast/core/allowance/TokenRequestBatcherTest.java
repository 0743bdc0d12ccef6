package org.toucanmast.core.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.allowance.TokenRequestBatcher.TokenRequest;

class TokenRequestBatcherTest {
  private final TokenRequestBatcher<String> batcher = new TokenRequestBatcher<>(50);

  private TokenRequest requestTwoTokens() {
    batcher.add("customer", "first", 0, 1_000);
    batcher.add("customer", "second", 1, 1_000);
    return batcher.createRequest(List.of("customer"), 10);
  }

  @Test
  void should_request_tokens_for_all_waiting_operations_at_once() {
    TokenRequest request = requestTwoTokens();

    assertThat(request.counts()).containsEntry("customer", 2);
    assertThat(batcher.tokensToRequest("customer")).isZero();
  }

  @Test
  void should_admit_as_many_operations_as_granted_in_order() {
    TokenRequest request = requestTwoTokens();

    assertThat(batcher.onGrant(request.id(), Map.of("customer", 1), 20).admitted())
        .containsExactly("first");
    assertThat(batcher.tokensToRequest("customer")).isEqualTo(1);
  }

  @Test
  void should_return_tokens_of_a_late_grant() {
    TokenRequest request = requestTwoTokens();

    TokenRequestBatcher.Granted<String> late =
        batcher.onGrant(request.id(), Map.of("customer", 2), 61);

    assertThat(late.admitted()).isEmpty();
    assertThat(late.unused()).containsEntry("customer", 2);
    assertThat(batcher.tokensToRequest("customer")).isEqualTo(2);
  }

  @Test
  void should_return_tokens_once_when_token_request_has_expired() {
    TokenRequest request = requestTwoTokens();
    batcher.expireTokenRequests(61);

    assertThat(batcher.onGrant(request.id(), Map.of("customer", 2), 70).unused())
        .containsEntry("customer", 2);
    assertThat(batcher.onGrant(request.id(), Map.of("customer", 2), 71).unused()).isEmpty();
  }

  @Test
  void should_return_tokens_that_no_operation_waits_for() {
    TokenRequest request = requestTwoTokens();
    batcher.removeWaitingSince("customer", 0);

    TokenRequestBatcher.Granted<String> granted =
        batcher.onGrant(request.id(), Map.of("customer", 2), 20);

    assertThat(granted.admitted()).containsExactly("second");
    assertThat(granted.unused()).containsEntry("customer", 1);
  }

  @Test
  void should_ignore_duplicate_grant() {
    TokenRequest request = requestTwoTokens();
    batcher.onGrant(request.id(), Map.of("customer", 1), 20);

    assertThat(batcher.onGrant(request.id(), Map.of("customer", 1), 21).admitted()).isEmpty();
  }

  @Test
  void should_never_admit_more_operations_than_tokens_requested() {
    TokenRequest request = requestTwoTokens();
    batcher.add("customer", "third", 12, 1_000);

    assertThat(batcher.onGrant(request.id(), Map.of("customer", 9), 20).admitted()).hasSize(2);
  }

  @Test
  void should_request_tokens_again_without_grant() {
    requestTwoTokens();

    batcher.expireTokenRequests(61);

    assertThat(batcher.tokensToRequest("customer")).isEqualTo(2);
  }

  @Test
  void should_expire_operations_at_their_deadline() {
    batcher.add("customer", "first", 0, 100);

    assertThat(batcher.expireOperations(99)).isEmpty();
    assertThat(batcher.expireOperations(100)).containsExactly("first");
    assertThat(batcher.customers()).isEmpty();
  }
}
