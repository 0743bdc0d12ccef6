package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.failover.Succession.Candidate;
import org.toucanmast.core.group.Position;

class SuccessionTest {
  @Test
  void should_choose_candidate_with_most_advanced_log() {
    assertThat(
            Succession.choose(
                List.of(
                    new Candidate("a", new Position(3, 10), true),
                    new Candidate("b", new Position(3, 12), true))))
        .contains("b");
  }

  @Test
  void should_prefer_a_newer_term_to_a_longer_log() {
    assertThat(
            Succession.choose(
                List.of(
                    new Candidate("a", new Position(4, 2), true),
                    new Candidate("b", new Position(3, 99), true))))
        .contains("a");
  }

  @Test
  void should_not_choose_candidate_that_does_not_accept_work() {
    assertThat(Succession.choose(List.of(new Candidate("a", new Position(3, 10), false))))
        .isEmpty();
  }
}
