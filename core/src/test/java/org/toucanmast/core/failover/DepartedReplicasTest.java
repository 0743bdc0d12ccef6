package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.group.Position;

class DepartedReplicasTest {
  private static final long NOW = 1_000;
  private static final long LONG_AFTER = NOW + 60_000;
  private static final Position NEWEST = new Position(3, 12);

  private final DepartedReplicas departed = new DepartedReplicas();

  private static EndpointEntry entry(String id, long startedAt) {
    return new EndpointEntry(id, "group", "10.0.0.1", 80, "a", 3, false, false, startedAt);
  }

  private void depart(String id) {
    departed.onEntry(entry(id, 1), NEWEST, NOW);
    departed.onRemoved(id, NEWEST, NOW);
  }

  /** LOST: a gone replica was no member any more, and the one that was left counted as all. */
  @Test
  void should_count_a_replica_that_has_left() {
    depart("b");

    assertThat(departed.count("p")).isEqualTo(1);
  }

  @Test
  void should_not_count_the_former_primary() {
    depart("p");

    assertThat(departed.count("p")).isZero();
  }

  @Test
  void should_not_count_a_replica_whose_entry_is_back() {
    depart("b");
    departed.onEntry(entry("b", 1), NEWEST, NOW);

    assertThat(departed.count("p")).isZero();
  }

  @Test
  void should_count_a_replica_that_was_restarted() {
    departed.onEntry(entry("b", 1), NEWEST, NOW);
    departed.onEntry(entry("b", 2), NEWEST, NOW);

    assertThat(departed.count("p")).isEqualTo(1);
  }

  @Test
  void should_forget_a_replica_when_another_one_holds_what_it_held() {
    depart("b");

    departed.onReceived(new Position(3, 11), LONG_AFTER);
    assertThat(departed.count("p")).isEqualTo(1);
    departed.onReceived(NEWEST, LONG_AFTER);
    assertThat(departed.count("p")).isZero();
  }

  @Test
  void should_count_a_replica_for_a_time_during_which_it_may_still_receive() {
    depart("b");
    departed.onReceived(NEWEST, NOW + 1_000);

    assertThat(departed.count("p")).isEqualTo(1);
  }

  @Test
  void should_forget_all_when_another_primary_leads() {
    depart("b");
    departed.onNewPrimary();

    assertThat(departed.count("p")).isZero();
  }
}
