package org.toucanmast.core.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class KeyClaimTest {
  private record Holders(long version, Map<String, String> byKey) implements KeyDirectory<String> {
    @Override
    public Optional<String> holderOf(String key) {
      return Optional.ofNullable(byKey.get(key));
    }
  }

  private static final Holders FIRST = new Holders(1, Map.of("key", "former"));

  private static KeyClaim<String> claim(boolean isOpen) {
    return KeyClaim.of("key", isOpen, FIRST).orElseThrow();
  }

  @Test
  void should_be_held_while_the_customer_holds_the_key() {
    Holders next = new Holders(2, Map.of("key", "former", "other", "customer"));

    assertThat(claim(false).statusIn(next)).isEqualTo(KeyStatus.HELD);
    assertThat(claim(false).confirmedBy(next).version()).isEqualTo(2);
  }

  @Test
  void should_tell_a_key_that_moved_from_one_that_was_withdrawn() {
    assertThat(claim(false).statusIn(new Holders(2, Map.of("key", "present"))))
        .isEqualTo(KeyStatus.MOVED);
    assertThat(claim(false).statusIn(new Holders(2, Map.of()))).isEqualTo(KeyStatus.WITHDRAWN);
  }

  @Test
  void should_pass_to_and_from_anonymous_callers_on_open_access() {
    assertThat(claim(true).statusIn(new Holders(2, Map.of()))).isEqualTo(KeyStatus.MOVED);
    KeyClaim<String> anonymous = KeyClaim.of("unknown", true, FIRST).orElseThrow();

    assertThat(anonymous.customer()).isEqualTo(KeyClaim.ANONYMOUS);
    assertThat(anonymous.statusIn(new Holders(2, Map.of()))).isEqualTo(KeyStatus.HELD);
    assertThat(anonymous.statusIn(new Holders(2, Map.of("unknown", "present"))))
        .isEqualTo(KeyStatus.MOVED);
  }

  @Test
  void should_not_be_refuted_by_an_older_configuration() {
    KeyClaim<String> newer = new KeyClaim<>("key", "present", false, 3);

    assertThat(newer.statusIn(FIRST)).isEqualTo(KeyStatus.HELD);
    assertThat(newer.confirmedBy(FIRST)).isEqualTo(newer);
  }

  @Test
  void should_check_a_claim_without_a_version_against_every_configuration() {
    KeyClaim<String> unversioned = new KeyClaim<>("key", "present", false, KeyClaim.NO_VERSION);

    assertThat(unversioned.statusIn(new Holders(0, Map.of()))).isEqualTo(KeyStatus.WITHDRAWN);
    assertThat(unversioned.statusIn(FIRST)).isEqualTo(KeyStatus.MOVED);
  }

  @Test
  void should_not_exist_for_a_key_that_nobody_holds() {
    assertThat(KeyClaim.of("unknown", false, FIRST)).isEmpty();
  }
}
