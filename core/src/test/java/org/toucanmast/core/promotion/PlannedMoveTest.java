package org.toucanmast.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class PlannedMoveTest {
  private static final Set<String> VMS = Set.of("a", "b");
  private static final long MAXIMUM_WAIT_IN_NANOSECONDS = 1_000;
  private final PlannedMove move = new PlannedMove(MAXIMUM_WAIT_IN_NANOSECONDS);

  @Test
  void should_not_proceed_without_announced_move() {
    move.onHoldReported("a", 1, 0);
    move.onHoldReported("b", 1, 0);

    assertThat(move.mayProceed(VMS, 5_000)).isFalse();
  }

  @Test
  void should_wait_until_every_vm_holds_back_transactions() {
    move.announce(1, 0);
    move.onHoldReported("a", 1, 0);

    assertThat(move.mayProceed(VMS, 10)).isFalse();

    move.onHoldReported("b", 1, 0);

    assertThat(move.mayProceed(VMS, 20)).isTrue();
  }

  @Test
  void should_wait_for_open_transactions() {
    move.announce(1, 0);
    move.onHoldReported("a", 1, 0);
    move.onHoldReported("b", 1, 2);

    assertThat(move.mayProceed(VMS, 10)).isFalse();

    move.onHoldReported("b", 1, 0);

    assertThat(move.mayProceed(VMS, 20)).isTrue();
  }

  @Test
  void should_proceed_after_maximum_wait() {
    move.announce(1, 0);
    move.onHoldReported("b", 1, 2);
    move.announce(1, 500);

    assertThat(move.mayProceed(VMS, MAXIMUM_WAIT_IN_NANOSECONDS - 1)).isFalse();
    assertThat(move.mayProceed(VMS, MAXIMUM_WAIT_IN_NANOSECONDS)).isTrue();
  }

  @Test
  void should_ignore_reports_for_another_term() {
    move.announce(2, 0);
    move.onHoldReported("a", 1, 0);
    move.onHoldReported("b", 2, 0);

    assertThat(move.mayProceed(VMS, 10)).isFalse();
  }

  @Test
  void should_discard_reports_when_withdrawn() {
    move.announce(1, 0);
    move.onHoldReported("a", 1, 0);
    move.onHoldReported("b", 1, 0);
    move.withdraw();
    move.announce(1, 100);

    assertThat(move.mayProceed(VMS, 110)).isFalse();
  }
}
