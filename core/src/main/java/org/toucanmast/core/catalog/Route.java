package org.toucanmast.core.catalog;

import org.toucanmast.core.statement.RouteKind;

/**
 * How the statements of one database are served.
 *
 * @param database the name that callers use
 * @param group the database group that holds the data
 * @param kind how fresh the data must be
 * @param stalenessInMilliseconds how old data may be, on kinds that allow replicas
 * @param timeoutInMilliseconds the longest a single statement may take
 * @param priority 0 is the highest
 * @param openToAll whether callers need no key
 */
public record Route(
    String database,
    String group,
    RouteKind kind,
    long stalenessInMilliseconds,
    long timeoutInMilliseconds,
    int priority,
    boolean openToAll) {
  /** Refuses missing names and times that are not positive. */
  public Route {
    if (database.isEmpty() || group.isEmpty()) {
      throw new IllegalArgumentException("a route needs a database and a group");
    }
    if (timeoutInMilliseconds <= 0) {
      throw new IllegalArgumentException("timeout must be positive: " + timeoutInMilliseconds);
    }
  }
}
