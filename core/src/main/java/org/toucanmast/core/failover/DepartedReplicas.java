package org.toucanmast.core.failover;

import java.util.HashMap;
import java.util.Map;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.group.Position;

/**
 * Endpoints that have left a group, or were restarted, and may be the only replicas that received
 * some acknowledged commits.
 *
 * <p>Load pattern: a replica receives nothing for a while, so that the other one alone acknowledges
 * commits; that one leaves, and the primary crashes. The replica that is left answers and is the
 * whole group, but must not be promoted.
 */
public final class DepartedReplicas {
  /**
   * How long a departed endpoint counts at least: one whose entry expired because it is cut off
   * from the store may still receive commits.
   */
  private static final long RETENTION_IN_MILLISECONDS = 30_000;

  private record Departure(String endpointId, Position newest, long at) {}

  private final Map<String, EndpointEntry> present = new HashMap<>();
  private final Map<String, Departure> departures = new HashMap<>();

  /**
   * Records the entry of a member.
   *
   * @param newest the newest position of the primary that is known
   * @param now the current time, in milliseconds
   */
  public void onEntry(EndpointEntry entry, Position newest, long now) {
    EndpointEntry previous = present.put(entry.id(), entry);
    if (previous != null && !previous.isSameRun(entry)) {
      depart(previous, newest, now);
    }
    departures.remove(key(entry));
  }

  /** Records that a member has left the group. */
  public void onRemoved(String endpointId, Position newest, long now) {
    EndpointEntry previous = present.remove(endpointId);
    if (previous != null) {
      depart(previous, newest, now);
    }
  }

  private void depart(EndpointEntry entry, Position newest, long now) {
    departures.put(key(entry), new Departure(entry.id(), newest, now));
  }

  private static String key(EndpointEntry entry) {
    return entry.id() + " " + entry.startedAt() + " " + entry.host() + ":" + entry.port();
  }

  /** Records that a member has received a position: it holds what departed endpoints held. */
  public void onReceived(Position position, long now) {
    departures
        .values()
        .removeIf(
            departure ->
                now - departure.at() >= RETENTION_IN_MILLISECONDS
                    && position.compareTo(departure.newest()) >= 0);
  }

  /** Forgets all departed endpoints, because another primary leads the group now. */
  public void onNewPrimary() {
    departures.clear();
  }

  /**
   * Returns the number of departed endpoints that may hold acknowledged commits as replicas.
   *
   * @param primary the id of the last primary, which is none of them; empty if it is not known
   */
  public int count(String primary) {
    return (int)
        departures.values().stream()
            .filter(departure -> !departure.endpointId().equals(primary))
            .count();
  }
}
