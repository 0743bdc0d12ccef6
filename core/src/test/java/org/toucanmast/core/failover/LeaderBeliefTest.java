package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.toucanmast.core.catalog.EndpointEntry;

class LeaderBeliefTest {
  private final LeaderBelief belief = new LeaderBelief();

  private static EndpointEntry entry(String id, boolean claimsPrimary) {
    return new EndpointEntry(id, "group", "10.0.0.1", 80, "a", 3, false, claimsPrimary, 1);
  }

  @Test
  void should_believe_a_claim_while_nothing_is_proved() {
    belief.entry(entry("a", false));
    belief.entry(entry("b", true));

    assertThat(belief.leader()).contains("b");
  }

  @Test
  void should_prefer_proof_to_a_claim() {
    belief.entry(entry("b", true));
    belief.proved("a", 4);

    assertThat(belief.leader()).contains("a");
  }

  @Test
  void should_know_no_leader_after_a_refusal() {
    belief.entry(entry("b", true));
    belief.proved("b", 3);
    belief.refuted("b");

    assertThat(belief.leader()).isEmpty();
  }

  @Test
  void should_not_return_to_an_older_term() {
    belief.proved("b", 4);
    belief.proved("a", 3);

    assertThat(belief.leader()).contains("b");
  }

  @Test
  void should_believe_a_refuted_endpoint_that_claims_anew() {
    belief.entry(entry("a", false));
    belief.refuted("a");
    belief.entry(entry("a", true));

    assertThat(belief.leader()).contains("a");
  }

  @Test
  void should_forget_an_endpoint_that_is_gone() {
    belief.entry(entry("a", true));
    belief.proved("a", 3);
    belief.removed("a");

    assertThat(belief.leader()).isEmpty();
  }
}
