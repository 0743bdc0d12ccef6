package org.toucanmast.core.failover;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.group.Position;

/**
 * Endpoints that have left a group, or were restarted, and may alone have received some
 * acknowledged commits.
 *
 * <p>Load pattern: a replica receives nothing for a while, so that the other one alone acknowledges
 * commits; that one leaves, and the primary crashes. The replica that is left answers and is the
 * whole group, but must not be promoted.
 */
public final class DepartedEndpoints {
  /**
   * How long an endpoint counts whose entry was removed while it was not leaving: it may be cut off
   * from the store only, and receive commits still.
   */
  private static final long UNPLANNED_RETENTION_IN_MILLISECONDS = 30_000;

  /** Departures that are kept one by one; older ones are kept as one that covers them all. */
  private static final int MAXIMUM_DEPARTURES = 256;

  /**
   * A departure.
   *
   * @param held a position that covers the commits that were acknowledged before the departure;
   *     empty while it is not known
   * @param receivesUntil until when the endpoint may receive further commits
   */
  private record Departure(Optional<Position> held, long receivesUntil) {
    private boolean isCoveredBy(Position position, long now) {
      return now >= receivesUntil && held.isPresent() && position.compareTo(held.get()) >= 0;
    }

    /** Returns a departure that is covered only when this one and another one are. */
    private Departure and(Departure other) {
      Optional<Position> both =
          held.isPresent() && other.held.isPresent()
              ? Optional.of(held.get().maximum(other.held.get()))
              : Optional.empty();
      return new Departure(both, Math.max(receivesUntil, other.receivesUntil));
    }

    private Departure heldUpTo(Position acknowledged) {
      return held.isPresent() ? this : new Departure(Optional.of(acknowledged), receivesUntil);
    }
  }

  /** A process of an endpoint: an endpoint that started again holds nothing of before. */
  private record Run(String id, long startedAt, String host, int port) {
    private static Run of(EndpointEntry entry) {
      return new Run(entry.id(), entry.startedAt(), entry.host(), entry.port());
    }
  }

  private final Map<String, EndpointEntry> present = new HashMap<>();
  private final Map<Run, Departure> departures = new LinkedHashMap<>();
  private Optional<Departure> olderDepartures = Optional.empty();
  private int olderCount;

  /**
   * Records the entry of a member.
   *
   * @param acknowledged a position that covers every acknowledged commit; empty if none is known
   * @param now the current time, in milliseconds
   */
  public void onEntry(EndpointEntry entry, Optional<Position> acknowledged, long now) {
    EndpointEntry previous = present.put(entry.id(), entry);
    if (previous != null && !previous.isSameRun(entry)) {
      add(Run.of(previous), new Departure(acknowledged, now));
    }
    departures.remove(Run.of(entry));
  }

  /** Records that a member has left the group. */
  public void onRemoved(String endpointId, Optional<Position> acknowledged, long now) {
    EndpointEntry previous = present.remove(endpointId);
    if (previous != null) {
      long receivesUntil = previous.draining() ? now : now + UNPLANNED_RETENTION_IN_MILLISECONDS;
      add(Run.of(previous), new Departure(acknowledged, receivesUntil));
    }
  }

  private void add(Run run, Departure departure) {
    departures.put(run, departure);
    if (departures.size() > MAXIMUM_DEPARTURES) {
      Departure eldest = departures.remove(departures.keySet().iterator().next());
      olderDepartures = Optional.of(olderDepartures.map(eldest::and).orElse(eldest));
      olderCount++;
    }
  }

  /**
   * Records a position that covers every acknowledged commit. It covers also what endpoints held
   * that had departed before, when no such position was known.
   */
  public void onAcknowledged(Position acknowledged) {
    departures.replaceAll((run, departure) -> departure.heldUpTo(acknowledged));
    olderDepartures = olderDepartures.map(departure -> departure.heldUpTo(acknowledged));
  }

  /** Forgets the endpoints that held no more than a replica has received. */
  public void onReceived(Position position, long now) {
    departures.values().removeIf(departure -> departure.isCoveredBy(position, now));
    olderDepartures = olderDepartures.filter(departure -> !departure.isCoveredBy(position, now));
    olderCount = olderDepartures.isPresent() ? olderCount : 0;
  }

  /** Returns the number of departures that are kept, older ones together as one. */
  int kept() {
    return departures.size() + (olderDepartures.isPresent() ? 1 : 0);
  }

  /** Returns the number of departed endpoints that may alone have received some commits. */
  public int count() {
    return departures.size() + olderCount;
  }
}
