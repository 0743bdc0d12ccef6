package org.toucanmast.core.mirror;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ChangeLogTest {
  private final ChangeLog<String> log = new ChangeLog<>();

  @Test
  void should_know_nothing_before_a_listing() {
    assertThat(log.since(0)).isEmpty();
    assertThat(log.since(1_000)).isEmpty();
  }

  @Test
  void should_return_the_changes_after_a_revision() {
    log.restart(10);
    log.add(11, "a", false);
    log.add(12, "b", true);

    assertThat(log.since(11).orElseThrow()).containsExactly(new ChangeLog.Change<>(12, "b", true));
    assertThat(log.since(12).orElseThrow()).isEmpty();
    assertThat(log.since(9)).isEmpty();
  }

  @Test
  void should_not_be_complete_for_changes_that_are_no_longer_kept() {
    log.restart(0);
    for (int revision = 1; revision <= 600; revision++) {
      log.add(revision, "a", false);
    }

    assertThat(log.since(87)).isEmpty();
    assertThat(log.since(88).orElseThrow()).hasSize(512);
  }
}
