package org.toucanmast.core.mirror;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ChangeLogTest {
  private final ChangeLog log = new ChangeLog();

  private static ChangeLog.Entry changed(long revision, String name) {
    return new ChangeLog.Entry(revision, name, OptionalLong.empty());
  }

  private static ChangeLog.Entry deleted(long revision, String name) {
    return new ChangeLog.Entry(revision, name, OptionalLong.of(revision));
  }

  @Test
  void should_know_nothing_before_a_listing() {
    assertThat(log.since(0)).isEmpty();
    assertThat(log.since(1_000)).isEmpty();
  }

  @Test
  void should_return_the_changes_after_a_revision() {
    log.restart(10);
    log.add(changed(11, "a"));
    log.add(deleted(12, "b"));

    assertThat(log.since(11).orElseThrow()).containsExactly(deleted(12, "b"));
    assertThat(log.since(12).orElseThrow()).isEmpty();
    assertThat(log.since(9)).isEmpty();
  }

  /** Guards against a heap that is filled by the former states of a long object. */
  @Test
  void should_keep_one_entry_of_an_object_that_changes_often() {
    log.restart(0);
    for (int revision = 1; revision <= 100_000; revision++) {
      log.add(changed(revision, "a"));
    }
    log.add(deleted(100_001, "b"));

    assertThat(log.since(0).orElseThrow())
        .containsExactly(changed(100_000, "a"), deleted(100_001, "b"));
    assertThat(log.lengthInBytes()).isEqualTo(2 * (ChangeLog.ENTRY_LENGTH_IN_BYTES + 1));
  }

  @Test
  void should_not_be_complete_for_changes_that_are_no_longer_kept() {
    int nameLength = 872;
    int kept =
        (int) (ChangeLog.MAXIMUM_LENGTH_IN_BYTES / (ChangeLog.ENTRY_LENGTH_IN_BYTES + nameLength));
    log.restart(0);
    for (int revision = 1; revision <= kept + 88; revision++) {
      log.add(changed(revision, String.format("%0" + nameLength + "d", revision)));
    }

    assertThat(log.since(87)).isEmpty();
    assertThat(log.since(88).orElseThrow()).hasSize(kept);
    assertThat(log.lengthInBytes()).isLessThanOrEqualTo(ChangeLog.MAXIMUM_LENGTH_IN_BYTES);
  }

  @Test
  void should_keep_no_name_that_is_longer_than_the_limit() {
    log.restart(0);
    log.add(changed(1, "a"));
    log.add(changed(2, "b".repeat((int) ChangeLog.MAXIMUM_LENGTH_IN_BYTES)));

    assertThat(log.lengthInBytes()).isZero();
    assertThat(log.since(1)).isEmpty();
    assertThat(log.since(2).orElseThrow()).isEmpty();
  }
}
