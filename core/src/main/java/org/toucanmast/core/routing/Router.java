package org.toucanmast.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.configuration.Database;
import org.toucanmast.core.configuration.EndpointDescription;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.GroupView;
import org.toucanmast.core.group.LogSummary.Coverage;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.group.Role;
import org.toucanmast.core.session.SessionToken;
import org.toucanmast.core.session.SessionView;

/**
 * Chooses the endpoint of a request.
 *
 * <p>Example: {@code router.forRead(view, token, freshness, now, excluded, loads)}. A write goes to
 * the newest primary. A read goes to the least loaded replica that covers the required position,
 * preferring this VM's data centre among equally loaded ones, and to the primary when there is
 * none.
 */
public final class Router {
  private final FleetConfiguration configuration;
  private final Database database;
  private final String dataCentre;

  /** The current load of endpoints. */
  public interface Load {
    /** Returns the number of requests that are queued or running at the endpoint. */
    int of(String endpoint);
  }

  /**
   * Creates a router for one database in one revision of the configuration.
   *
   * @param dataCentre the data centre of this VM
   */
  public Router(FleetConfiguration configuration, Database database, String dataCentre) {
    this.configuration = configuration;
    this.database = database;
    this.dataCentre = dataCentre;
  }

  /** Returns the primary; empty while no primary that accepts work is known. */
  public Optional<Destination> forPrimary(GroupView view, SessionToken token) {
    Position required = token.viewOf(database.name()).position();
    return view.primary()
        .filter(name -> acceptsWork(name))
        .map(name -> new Destination(name, true, view.term(), required));
  }

  /**
   * Chooses the endpoint of a read; empty when neither a replica nor the primary can serve it.
   *
   * @param now the current time, in nanoseconds
   * @param excluded the replicas that have already been tried
   */
  public Optional<Destination> forRead(
      GroupView view,
      SessionToken token,
      ReadFreshness freshness,
      long now,
      Set<String> excluded,
      Load loads) {
    Optional<Destination> replica =
        requiredPosition(view, token, freshness, now)
            .flatMap(required -> replicaFor(view, required, excluded, loads));
    return replica.isPresent() ? replica : forPrimary(view, token);
  }

  /** Returns the position that a replica must cover; empty when only the primary may reply. */
  private Optional<Position> requiredPosition(
      GroupView view, SessionToken token, ReadFreshness freshness, long now) {
    SessionView session = token.viewOf(database.name());
    if (session.isUncertain()) {
      return Optional.empty();
    }
    if (freshness.acceptsAge()) {
      return view.positionWithin(freshness.maximumAge(), now)
          .map(position -> position.maximum(session.position()));
    }
    return token.knows(database.name()) ? Optional.of(session.position()) : Optional.empty();
  }

  private Optional<Destination> replicaFor(
      GroupView view, Position required, Set<String> excluded, Load loads) {
    List<EndpointDescription> candidates =
        database.endpoints().stream()
            .filter(configuration::acceptsWork)
            .filter(endpoint -> !excluded.contains(endpoint.name()))
            .filter(endpoint -> covers(view, endpoint.name(), required))
            .toList();
    return candidates.stream()
        .min(
            Comparator.<EndpointDescription>comparingInt(endpoint -> loads.of(endpoint.name()))
                .thenComparing(endpoint -> !endpoint.dataCentre().equals(dataCentre))
                .thenComparing(EndpointDescription::name))
        .map(endpoint -> new Destination(endpoint.name(), false, view.term(), required));
  }

  private boolean covers(GroupView view, String endpoint, Position required) {
    Optional<EndpointStatus> status = view.statusOf(endpoint);
    return status.isPresent()
        && status.get().role() == Role.REPLICA
        && status.get().term() == view.term()
        && status.get().log().coverageOf(required) == Coverage.COVERED;
  }

  private boolean acceptsWork(String endpoint) {
    return database.endpoints().stream()
        .anyMatch(each -> each.name().equals(endpoint) && configuration.acceptsWork(each));
  }
}
