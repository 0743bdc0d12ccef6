package org.toucanmast.core.group;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.group.LogSummary.Coverage;

class LogSummaryTest {
  private final LogSummary log =
      new LogSummary(new Position(3, 20), List.of(new Position(1, 1), new Position(3, 11)));

  @Test
  void should_cover_position_within_its_term() {
    assertThat(log.coverageOf(new Position(1, 10))).isEqualTo(Coverage.COVERED);
    assertThat(log.coverageOf(new Position(3, 11))).isEqualTo(Coverage.COVERED);
  }

  @Test
  void should_be_behind_position_past_its_end() {
    assertThat(log.coverageOf(new Position(3, 21))).isEqualTo(Coverage.BEHIND);
    assertThat(log.coverageOf(new Position(4, 15))).isEqualTo(Coverage.BEHIND);
  }

  @Test
  void should_report_lost_write_when_later_term_started_at_or_before_it() {
    assertThat(log.coverageOf(new Position(1, 11))).isEqualTo(Coverage.LOST);
    assertThat(log.coverageOf(new Position(2, 25))).isEqualTo(Coverage.LOST);
  }

  @Test
  void should_always_cover_empty_position() {
    assertThat(LogSummary.EMPTY.coverageOf(Position.NONE)).isEqualTo(Coverage.COVERED);
    assertThat(LogSummary.EMPTY.coverageOf(new Position(1, 1))).isEqualTo(Coverage.BEHIND);
  }
}
