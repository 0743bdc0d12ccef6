package org.toucanmast.core.link;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OutputBudgetTest {
  private static final long SHORT = OutputBudget.SHORT_FRAME_IN_BYTES;
  private static final long MAXIMUM = 10 * SHORT;

  private final OutputBudget budget = new OutputBudget(MAXIMUM);

  @Test
  void should_admit_short_frames_whatever_waits() {
    budget.onWritten(2 * MAXIMUM);

    assertThat(budget.admits(SHORT, 2 * MAXIMUM)).isTrue();
    assertThat(budget.admits(SHORT + 1, 0)).isFalse();
  }

  @Test
  void should_leave_half_of_the_budget_to_other_links() {
    budget.onWritten(4 * SHORT);

    assertThat(budget.admits(2 * SHORT, 4 * SHORT)).isFalse();
    assertThat(budget.admits(2 * SHORT, 0)).isTrue();
  }

  @Test
  void should_admit_one_long_frame_on_a_link_that_has_nothing_waiting() {
    assertThat(budget.admits(MAXIMUM, 0)).isTrue();
    assertThat(budget.admits(MAXIMUM + 1, 0)).isFalse();
  }

  @Test
  void should_admit_again_what_has_been_sent() {
    budget.onWritten(MAXIMUM);
    assertThat(budget.admits(2 * SHORT, 0)).isFalse();
    budget.onSent(MAXIMUM);

    assertThat(budget.admits(2 * SHORT, 0)).isTrue();
    assertThat(budget.pendingBytes()).isZero();
  }
}
