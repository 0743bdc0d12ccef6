package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.failover.Succession.Candidate;
import org.toucanmast.core.group.Position;

class SynchronousSuccessionTest {
  private static final Candidate BEHIND = new Candidate("a", new Position(3, 10), true);
  private static final Candidate LEAVING = new Candidate("b", new Position(3, 12), false);
  private static final Candidate UP_TO_DATE = new Candidate("c", new Position(3, 12), true);
  private static final Optional<Position> UNKNOWN = Optional.empty();

  private final SynchronousSuccession succession = new SynchronousSuccession(1);

  /** LOST: the endpoint that was behind was promoted, because the other one was draining. */
  @Test
  void should_choose_a_leaving_endpoint_that_alone_holds_acknowledged_commits() {
    assertThat(succession.afterLoss(List.of(BEHIND, LEAVING), 0, UNKNOWN)).contains("b");
  }

  @Test
  void should_prefer_an_endpoint_that_accepts_work_among_those_that_hold_all_commits() {
    assertThat(succession.afterLoss(List.of(BEHIND, LEAVING, UP_TO_DATE), 0, UNKNOWN))
        .contains("c");
  }

  /** LOST: the only endpoint that answered was promoted, without the commits of the silent one. */
  @Test
  void should_choose_none_while_a_silent_replica_may_hold_commits_that_no_candidate_has() {
    assertThat(succession.afterLoss(List.of(BEHIND), 1, UNKNOWN)).isEmpty();
    assertThat(succession.afterLoss(List.of(BEHIND), 1, Optional.of(new Position(3, 11))))
        .isEmpty();
  }

  @Test
  void should_choose_a_candidate_that_holds_all_that_was_acknowledged_although_one_is_silent() {
    assertThat(succession.afterLoss(List.of(UP_TO_DATE), 1, Optional.of(new Position(3, 12))))
        .contains("c");
  }

  @Test
  void should_bear_the_silence_of_fewer_replicas_than_acknowledge_a_commit() {
    assertThat(new SynchronousSuccession(2).afterLoss(List.of(BEHIND), 1, UNKNOWN)).contains("a");
  }

  @Test
  void should_choose_none_without_candidates() {
    assertThat(succession.afterLoss(List.of(), 0, UNKNOWN)).isEmpty();
  }

  /** LOST: a planned change of primary dropped commits that the successor had not received yet. */
  @Test
  void should_wait_for_an_endpoint_that_accepts_work_and_holds_all_commits_when_planned() {
    assertThat(succession.planned(List.of(BEHIND, LEAVING), new Position(3, 12))).isEmpty();
    assertThat(succession.planned(List.of(BEHIND, UP_TO_DATE), new Position(3, 12))).contains("c");
  }

  @Test
  void should_refuse_a_group_without_synchronous_replicas() {
    assertThatIllegalArgumentException().isThrownBy(() -> new SynchronousSuccession(0));
  }
}
