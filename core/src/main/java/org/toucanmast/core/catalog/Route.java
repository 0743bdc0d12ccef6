package org.toucanmast.core.catalog;

import org.toucanmast.core.statement.RouteKind;

/**
 * The rules by which the statements of one database are served.
 *
 * @param database the name that callers use
 * @param group the database group that holds the data
 * @param kind the consistency that reads require
 * @param stalenessInMilliseconds the maximum staleness of reads, for kinds that allow replicas
 * @param timeoutInMilliseconds the maximum duration of a single statement
 * @param objectiveInMilliseconds the time within which callers want a whole operation to complete
 * @param priority the priority of its statements; 0 is the highest
 * @param anonymousAllowed whether callers may use the route without an API key
 */
public record Route(
    String database,
    String group,
    RouteKind kind,
    long stalenessInMilliseconds,
    long timeoutInMilliseconds,
    long objectiveInMilliseconds,
    int priority,
    boolean anonymousAllowed) {
  /**
   * Creates a route.
   *
   * @throws IllegalArgumentException when the database or group is empty, or the timeout or the
   *     objective is not positive
   */
  public Route {
    if (database.isEmpty() || group.isEmpty()) {
      throw new IllegalArgumentException("database and group of a route must not be empty");
    }
    if (timeoutInMilliseconds <= 0) {
      throw new IllegalArgumentException("timeout must be positive: " + timeoutInMilliseconds);
    }
    if (objectiveInMilliseconds <= 0) {
      throw new IllegalArgumentException("objective must be positive: " + objectiveInMilliseconds);
    }
  }
}
