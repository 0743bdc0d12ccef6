package org.toucanmast.core.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.LogSummary;
import org.toucanmast.core.group.ObservationRound;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.group.Role;

class PromotionDecisionTest {
  private static final List<String> OBSERVERS = List.of("a", "b", "c");
  private final PromotionDecision decision = new PromotionDecision(100, 500);

  private static EndpointStatus status(String name, long term, Role role, long index) {
    return new EndpointStatus(
        name, term, role, new LogSummary(new Position(1, index), List.of(new Position(1, 1))));
  }

  @Test
  void should_not_order_without_suspicion_of_a_majority() {
    decision.onSuspicion("a", 1, 0);

    assertThat(decision.shouldOrder("a", OBSERVERS, 1, 10)).isFalse();
  }

  @Test
  void should_order_at_once_as_first_observer_of_a_suspecting_majority() {
    decision.onSuspicion("a", 1, 0);
    decision.onSuspicion("b", 1, 0);

    assertThat(decision.shouldOrder("a", OBSERVERS, 1, 10)).isTrue();
  }

  @Test
  void should_wait_one_delay_as_second_observer() {
    decision.onSuspicion("b", 1, 0);
    decision.onSuspicion("c", 1, 0);

    assertThat(decision.shouldOrder("b", OBSERVERS, 1, 10)).isFalse();
    assertThat(decision.shouldOrder("b", OBSERVERS, 1, 110)).isTrue();
  }

  @Test
  void should_ignore_suspicions_of_an_earlier_term() {
    decision.onSuspicion("a", 2, 0);
    decision.onSuspicion("b", 1, 0);

    assertThat(decision.shouldOrder("a", OBSERVERS, 2, 10)).isFalse();
  }

  @Test
  void should_ignore_expired_suspicions() {
    decision.onSuspicion("b", 1, 0);
    decision.onSuspicion("a", 1, 600);

    assertThat(decision.shouldOrder("a", OBSERVERS, 1, 600)).isFalse();
  }

  @Test
  void should_not_order_when_vm_is_not_an_observer() {
    decision.onSuspicion("a", 1, 0);
    decision.onSuspicion("b", 1, 0);

    assertThat(decision.shouldOrder("d", OBSERVERS, 1, 10)).isFalse();
  }

  @Test
  void should_suspect_primary_only_after_timeout() {
    PrimaryTimeoutDetector detector = new PrimaryTimeoutDetector(300);
    for (long now = 0; now <= 300; now += 100) {
      detector.onRound(new ObservationRound(now, 2), 1, now);
      assertThat(detector.isSuspected(now)).isEqualTo(now >= 300);
    }
  }

  @Test
  void should_not_suspect_primary_after_pause_of_the_observer() {
    PrimaryTimeoutDetector detector = new PrimaryTimeoutDetector(300);
    detector.onRound(new ObservationRound(0, 2), 1, 0);

    detector.onRound(new ObservationRound(5_000, 2), 1, 5_000);

    assertThat(detector.isSuspected(5_000)).isFalse();
  }

  @Test
  void should_suspect_when_only_primary_of_an_older_term_replies() {
    PrimaryTimeoutDetector detector = new PrimaryTimeoutDetector(300);
    for (long now = 0; now <= 300; now += 100) {
      ObservationRound round = new ObservationRound(now, 2);
      round.add(status("x", 1, Role.PRIMARY, 5));
      detector.onRound(round, 2, now);
    }

    assertThat(detector.isSuspected(300)).isTrue();
  }

  @Test
  void should_choose_most_advanced_endpoint_of_a_fenced_majority() {
    Promotion promotion = new Promotion(2, 3);
    promotion.onFenced(status("x", 2, Role.REPLICA, 4));
    assertThat(promotion.candidate(name -> true)).isEmpty();

    promotion.onFenced(status("y", 2, Role.REPLICA, 9));

    assertThat(promotion.candidate(name -> name.equals("x"))).contains("y");
  }

  @Test
  void should_choose_preferred_endpoint_among_equally_advanced_ones() {
    Promotion promotion = new Promotion(2, 3);
    promotion.onFenced(status("x", 2, Role.REPLICA, 9));
    promotion.onFenced(status("y", 2, Role.REPLICA, 9));

    assertThat(promotion.candidate(name -> name.equals("x"))).contains("x");
  }

  @Test
  void should_spread_observers_over_data_centres() {
    Map<String, String> vms = Map.of("a", "east", "b", "east", "c", "east", "d", "west");

    assertThat(Observers.of("stock", vms)).hasSize(3).contains("d");
  }
}
