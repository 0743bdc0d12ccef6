package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.group.Position;

class DepartedEndpointsTest {
  private static final long NOW = 1_000;
  private static final long LONG_AFTER = NOW + 60_000;
  private static final Position HELD = new Position(3, 12);
  private static final Optional<Position> ACKNOWLEDGED = Optional.of(HELD);

  private final DepartedEndpoints departed = new DepartedEndpoints();

  private static EndpointEntry entry(String id, long startedAt, boolean draining) {
    return new EndpointEntry(id, "group", "10.0.0.1", 80, "a", 3, draining, false, startedAt);
  }

  private void depart(boolean draining, Optional<Position> acknowledged) {
    departed.onEntry(entry("b", 1, draining), acknowledged, NOW);
    departed.onRemoved("b", acknowledged, NOW);
  }

  /**
   * Lost commits: an endpoint that was gone was no member, and the one that was left counted as
   * all.
   */
  @Test
  void should_count_an_endpoint_that_has_left() {
    depart(true, ACKNOWLEDGED);

    assertThat(departed.count()).isEqualTo(1);
  }

  /** Guards against a heap that is filled by endpoints that come and go in a group at rest. */
  @Test
  void should_keep_a_limited_number_of_departures_and_count_all_of_them() {
    for (int number = 0; number < 1_000; number++) {
      departed.onEntry(entry("short-lived-" + number, 1, true), Optional.empty(), NOW);
      departed.onRemoved("short-lived-" + number, Optional.empty(), NOW);
    }

    assertThat(departed.count()).isEqualTo(1_000);
    assertThat(departed.kept()).isEqualTo(257);
    departed.onReceived(HELD, LONG_AFTER);
    assertThat(departed.count()).isEqualTo(1_000);
    departed.onAcknowledged(HELD);
    departed.onReceived(new Position(3, 11), LONG_AFTER);
    assertThat(departed.count()).isEqualTo(1_000);
    departed.onReceived(HELD, LONG_AFTER);
    assertThat(departed.count()).isZero();
  }

  @Test
  void should_cover_all_older_departures_only_with_the_highest_position_of_them() {
    for (int number = 0; number < 400; number++) {
      Position held = new Position(3, number == 0 ? 50 : 1);
      departed.onEntry(entry("short-lived-" + number, 1, true), Optional.of(held), NOW);
      departed.onRemoved("short-lived-" + number, Optional.of(held), NOW);
    }

    departed.onReceived(new Position(3, 49), LONG_AFTER);
    assertThat(departed.count()).isEqualTo(144);
    departed.onReceived(new Position(3, 50), LONG_AFTER);
    assertThat(departed.count()).isZero();
  }

  @Test
  void should_not_count_an_endpoint_whose_entry_is_back() {
    depart(false, ACKNOWLEDGED);
    departed.onEntry(entry("b", 1, false), ACKNOWLEDGED, NOW);

    assertThat(departed.count()).isZero();
  }

  @Test
  void should_count_an_endpoint_that_was_restarted() {
    departed.onEntry(entry("b", 1, false), ACKNOWLEDGED, NOW);
    departed.onEntry(entry("b", 2, false), ACKNOWLEDGED, NOW);

    assertThat(departed.count()).isEqualTo(1);
  }

  /** Otherwise each release would delay a later promotion. */
  @Test
  void should_forget_a_drained_endpoint_as_soon_as_a_replica_holds_what_it_held() {
    depart(true, ACKNOWLEDGED);

    departed.onReceived(new Position(3, 11), NOW);
    assertThat(departed.count()).isEqualTo(1);
    departed.onReceived(HELD, NOW);
    assertThat(departed.count()).isZero();
  }

  @Test
  void should_count_an_endpoint_that_did_not_drain_while_it_may_still_receive_commits() {
    depart(false, ACKNOWLEDGED);

    departed.onReceived(HELD, NOW + 1_000);
    assertThat(departed.count()).isEqualTo(1);
    departed.onReceived(HELD, LONG_AFTER);
    assertThat(departed.count()).isZero();
  }

  /**
   * Lost commits: a VM that was not the gateway then takes any position of a replica for enough.
   */
  @Test
  void should_count_an_endpoint_until_it_is_known_what_it_may_have_held() {
    depart(true, Optional.empty());

    departed.onReceived(HELD, LONG_AFTER);
    assertThat(departed.count()).isEqualTo(1);
    departed.onAcknowledged(HELD);
    departed.onReceived(HELD, LONG_AFTER);
    assertThat(departed.count()).isZero();
  }
}
