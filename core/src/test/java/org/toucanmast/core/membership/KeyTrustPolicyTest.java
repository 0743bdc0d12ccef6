package org.toucanmast.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class KeyTrustPolicyTest {
  private final KeyTrustPolicy policy = new KeyTrustPolicy(3_000);

  @Test
  void should_trust_a_fresh_confirmation() {
    assertThat(policy.mayTrustKeys(3_000, 1, 8)).isTrue();
  }

  @Test
  void should_not_trust_an_expired_confirmation_without_a_majority() {
    assertThat(policy.mayTrustKeys(3_001, 1, 8)).isFalse();
    assertThat(policy.mayTrustKeys(3_001, 4, 8)).isFalse();
  }

  @Test
  void should_trust_the_last_revision_with_a_majority_while_the_platform_is_down() {
    assertThat(policy.mayTrustKeys(3_600_000, 5, 8)).isTrue();
  }

  @Test
  void should_not_trust_a_revision_that_was_never_confirmed() {
    assertThat(policy.mayTrustKeys(-1, 8, 8)).isFalse();
  }
}
