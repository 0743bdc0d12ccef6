package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.toucanmast.core.failover.Succession.Candidate;
import org.toucanmast.core.group.Position;

class SynchronousSuccessionTest {
  private static final Candidate BEHIND = new Candidate("a", new Position(3, 10), true);
  private static final Candidate LEAVING = new Candidate("b", new Position(3, 12), false);
  private static final Candidate UP_TO_DATE = new Candidate("c", new Position(3, 12), true);

  private final SynchronousSuccession succession = new SynchronousSuccession(1);

  /**
   * Lost commits: the endpoint that was behind was promoted, because the other one was draining.
   */
  @Test
  void should_choose_a_leaving_endpoint_that_alone_holds_acknowledged_commits() {
    assertThat(succession.mostAdvanced(List.of(BEHIND, LEAVING))).contains("b");
  }

  @Test
  void should_prefer_an_endpoint_that_accepts_work_among_those_that_hold_all_commits() {
    assertThat(succession.mostAdvanced(List.of(BEHIND, LEAVING, UP_TO_DATE))).contains("c");
  }

  /**
   * Lost commits: the only endpoint that answered was promoted, without the commits of the silent
   * one.
   */
  @ParameterizedTest
  @CsvSource({"1, 0, true", "1, 1, true", "1, 2, false", "2, 2, true", "2, 3, false"})
  void should_need_one_of_the_endpoints_that_have_a_commit(
      int synchronousReplicas, int missingEndpoints, boolean expected) {
    assertThat(new SynchronousSuccession(synchronousReplicas).hasAllCommits(missingEndpoints))
        .isEqualTo(expected);
  }

  @Test
  void should_choose_a_candidate_that_holds_all_that_was_acknowledged() {
    assertThat(succession.holding(List.of(BEHIND, UP_TO_DATE), new Position(3, 12))).contains("c");
    assertThat(succession.holding(List.of(BEHIND), new Position(3, 11))).isEmpty();
  }

  @Test
  void should_choose_none_without_candidates() {
    assertThat(succession.mostAdvanced(List.of())).isEmpty();
  }

  @Test
  void should_refuse_a_group_without_synchronous_replicas() {
    assertThatIllegalArgumentException().isThrownBy(() -> new SynchronousSuccession(0));
  }
}
