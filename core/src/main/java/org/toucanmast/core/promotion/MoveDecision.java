package org.toucanmast.core.promotion;

import java.util.Comparator;
import java.util.Optional;
import org.toucanmast.core.configuration.Database;
import org.toucanmast.core.configuration.EndpointDescription;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.GroupView;
import org.toucanmast.core.group.Role;

/**
 * Decides whether a healthy primary should be moved, and to which endpoint: away from an endpoint
 * that no longer accepts work, or to the preferred primary of the configuration.
 */
public final class MoveDecision {
  private MoveDecision() {}

  /** Returns the endpoint that should become the primary; empty when no move is needed. */
  public static Optional<String> target(
      FleetConfiguration configuration, Database database, GroupView view) {
    Optional<EndpointDescription> primary =
        view.primary().flatMap(name -> endpointNamed(database, name));
    if (primary.isEmpty()) {
      return Optional.empty();
    }
    if (!configuration.acceptsWork(primary.get())) {
      return mostAdvanced(configuration, database, view);
    }
    return Optional.of(database.preferredPrimary())
        .filter(preferred -> !preferred.isEmpty())
        .filter(preferred -> !preferred.equals(primary.get().name()))
        .filter(preferred -> isCandidate(configuration, database, view, preferred));
  }

  private static Optional<String> mostAdvanced(
      FleetConfiguration configuration, Database database, GroupView view) {
    return view.statuses().stream()
        .filter(status -> isCandidate(configuration, database, view, status.endpoint()))
        .max(Comparator.comparing(EndpointStatus::position).thenComparing(EndpointStatus::endpoint))
        .map(EndpointStatus::endpoint);
  }

  private static boolean isCandidate(
      FleetConfiguration configuration, Database database, GroupView view, String name) {
    boolean isReplicaOfTerm =
        view.statusOf(name)
            .filter(status -> status.role() == Role.REPLICA && status.term() == view.term())
            .isPresent();
    return isReplicaOfTerm
        && endpointNamed(database, name).filter(configuration::acceptsWork).isPresent();
  }

  private static Optional<EndpointDescription> endpointNamed(Database database, String name) {
    return database.endpoints().stream().filter(each -> each.name().equals(name)).findFirst();
  }
}
