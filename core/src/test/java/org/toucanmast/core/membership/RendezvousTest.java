package org.toucanmast.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RendezvousTest {
  private static final Map<String, Double> WEIGHTS = Map.of("small", 0.5, "large", 1.5);

  @Test
  void should_assign_keys_in_proportion_to_the_weight_of_a_member() {
    long large = 0;
    for (int i = 0; i < 4_000; i++) {
      large += Rendezvous.rankByWeight("duty-" + i, WEIGHTS).get(0).equals("large") ? 1 : 0;
    }

    assertThat(large / 4_000.0).isBetween(0.72, 0.78);
  }

  @Test
  void should_reassign_only_the_keys_of_a_removed_member() {
    Map<String, Double> all = new HashMap<>(Map.of("a", 1.0, "b", 1.0, "c", 0.4));
    Map<String, Double> remaining = new HashMap<>(all);
    remaining.remove("b");
    for (int i = 0; i < 500; i++) {
      List<String> before = Rendezvous.rankByWeight("duty-" + i, all);
      if (!before.get(0).equals("b")) {
        assertThat(Rendezvous.rankByWeight("duty-" + i, remaining).get(0)).isEqualTo(before.get(0));
      }
    }
  }
}
