package org.toucanmast.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.configuration.Database;
import org.toucanmast.core.configuration.EndpointDescription;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.group.AcknowledgementRule;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.GroupView;
import org.toucanmast.core.group.LogSummary;
import org.toucanmast.core.group.ObservationRound;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.group.Role;
import org.toucanmast.core.session.SessionToken;
import org.toucanmast.core.session.SessionView;

class RouterTest {
  private static final long NOW = 1_000;
  private final GroupView view = new GroupView();

  private static EndpointDescription endpoint(String name, String dataCentre) {
    return new EndpointDescription(name, "127.0.0.1:1", dataCentre, 20, 3, false);
  }

  private static Router router(Set<String> takenOutDataCentres) {
    Database database =
        new Database(
            "stock",
            List.of(endpoint("p", "east"), endpoint("r1", "west"), endpoint("r2", "east")),
            AcknowledgementRule.POSITION,
            "");
    FleetConfiguration configuration =
        new FleetConfiguration(
            1, Map.of(), Map.of("stock", database), Map.of(), takenOutDataCentres, Map.of());
    return new Router(configuration, database, "east");
  }

  private static EndpointStatus status(String name, Role role, long index) {
    return new EndpointStatus(
        name, 1, role, new LogSummary(new Position(1, index), List.of(new Position(1, 1))));
  }

  private void observe(long at, long primary, long first, long second) {
    ObservationRound round = new ObservationRound(at, 2);
    for (EndpointStatus each :
        List.of(
            status("p", Role.PRIMARY, primary),
            status("r1", Role.REPLICA, first),
            status("r2", Role.REPLICA, second))) {
      round.add(each);
      view.learn(each);
    }
    view.learnRound(round);
  }

  private String read(Router router, SessionToken token, ReadFreshness freshness) {
    return router
        .forRead(view, token, freshness, NOW, Set.of(), endpoint -> 0)
        .map(Destination::endpoint)
        .orElse("");
  }

  private static SessionToken seen(long index) {
    return SessionToken.empty().advance("stock", new Position(1, index));
  }

  @Test
  void should_route_read_to_replica_in_same_data_centre_that_covers_session() {
    observe(900, 10, 10, 10);

    assertThat(read(router(Set.of()), seen(10), ReadFreshness.OF_SESSION)).isEqualTo("r2");
  }

  @Test
  void should_skip_replica_that_is_behind_session() {
    observe(900, 10, 10, 8);

    assertThat(read(router(Set.of()), seen(9), ReadFreshness.OF_SESSION)).isEqualTo("r1");
  }

  @Test
  void should_route_read_to_primary_without_session_token() {
    observe(900, 10, 10, 10);

    assertThat(read(router(Set.of()), SessionToken.empty(), ReadFreshness.OF_SESSION))
        .isEqualTo("p");
  }

  @Test
  void should_route_read_to_primary_while_a_write_is_uncertain() {
    observe(900, 10, 10, 10);
    SessionToken uncertain =
        SessionToken.empty().with("stock", new SessionView(new Position(1, 1), 1));

    assertThat(read(router(Set.of()), uncertain, ReadFreshness.OF_SESSION)).isEqualTo("p");
  }

  @Test
  void should_route_read_to_replica_that_covers_position_within_accepted_age() {
    observe(500, 6, 5, 5);
    observe(900, 10, 7, 5);

    assertThat(read(router(Set.of()), SessionToken.empty(), new ReadFreshness(600)))
        .isEqualTo("r1");
    assertThat(read(router(Set.of()), SessionToken.empty(), new ReadFreshness(200))).isEqualTo("p");
  }

  @Test
  void should_not_route_to_data_centre_that_was_taken_out() {
    observe(900, 10, 10, 10);

    assertThat(read(router(Set.of("east")), seen(10), ReadFreshness.OF_SESSION)).isEqualTo("r1");
    assertThat(router(Set.of("east")).forPrimary(view, seen(10))).isEmpty();
  }

  @Test
  void should_ignore_primary_of_a_lower_term() {
    observe(900, 10, 10, 10);
    view.learnPrimary("r1", 2);
    view.learnPrimary("p", 1);

    assertThat(view.primary()).contains("r1");
  }
}
