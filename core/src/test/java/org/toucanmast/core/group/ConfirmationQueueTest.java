package org.toucanmast.core.group;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.group.ConfirmationQueue.PendingReply;
import org.toucanmast.core.group.ConfirmationQueue.Settled;

class ConfirmationQueueTest {
  private static final Position WRITE = new Position(1, 5);
  private final ConfirmationQueue<String> queue = new ConfirmationQueue<>();

  private static EndpointStatus status(
      String name, long term, Role role, long entryTerm, long index) {
    List<Position> termStarts =
        entryTerm == 1
            ? List.of(new Position(1, 1))
            : List.of(new Position(1, 1), new Position(entryTerm, index));
    return new EndpointStatus(
        name, term, role, new LogSummary(new Position(entryTerm, index), termStarts));
  }

  private static ObservationRound round(long startedAt, EndpointStatus... statuses) {
    ObservationRound round = new ObservationRound(startedAt, 2);
    for (EndpointStatus status : statuses) {
      round.add(status);
    }
    return round;
  }

  private void write(AcknowledgementRule rule) {
    queue.add(new PendingReply<>("write", rule, "a", WRITE, 100, 1_000));
  }

  @Test
  void should_confirm_write_that_a_replica_of_its_term_holds() {
    write(AcknowledgementRule.POSITION);

    Settled<String> settled = queue.settle(round(100, status("b", 1, Role.REPLICA, 1, 5)));

    assertThat(settled.confirmed()).containsExactly("write");
  }

  @Test
  void should_not_confirm_by_round_that_started_before_write() {
    write(AcknowledgementRule.TERM);

    Settled<String> settled = queue.settle(round(99, status("b", 1, Role.REPLICA, 1, 5)));

    assertThat(settled.confirmed()).isEmpty();
  }

  @Test
  void should_not_confirm_by_old_primary_alone() {
    write(AcknowledgementRule.TERM);

    Settled<String> settled =
        queue.settle(
            round(
                200,
                status("a", 1, Role.PRIMARY, 1, 5),
                status("b", 2, Role.PRIMARY, 1, 4),
                status("c", 2, Role.REPLICA, 1, 4)));

    assertThat(settled.confirmed()).isEmpty();
  }

  @Test
  void should_not_confirm_position_by_replica_that_is_behind() {
    write(AcknowledgementRule.POSITION);

    Settled<String> settled = queue.settle(round(200, status("b", 1, Role.REPLICA, 1, 4)));

    assertThat(settled.confirmed()).isEmpty();
  }

  @Test
  void should_confirm_write_that_survived_change_of_primary() {
    write(AcknowledgementRule.POSITION);

    Settled<String> settled =
        queue.settle(
            round(200, status("b", 2, Role.PRIMARY, 1, 5), status("c", 2, Role.REPLICA, 1, 5)));

    assertThat(settled.confirmed()).containsExactly("write");
  }

  @Test
  void should_not_confirm_when_new_primary_has_another_entry_at_position() {
    write(AcknowledgementRule.POSITION);

    Settled<String> settled =
        queue.settle(
            round(200, status("b", 2, Role.PRIMARY, 2, 5), status("c", 2, Role.REPLICA, 2, 5)));

    assertThat(settled.confirmed()).isEmpty();
    assertThat(queue.expire(1_000)).containsExactly("write");
  }

  @Test
  void should_supersede_read_when_its_primary_was_replaced() {
    queue.add(
        new PendingReply<>("read", AcknowledgementRule.TERM, "a", new Position(1, 0), 100, 1_000));

    Settled<String> settled = queue.settle(round(150, status("b", 2, Role.PRIMARY, 1, 4)));

    assertThat(settled.superseded()).containsExactly("read");
  }
}
