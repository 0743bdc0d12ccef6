package org.toucanmast.core.scheduling;

/**
 * What the endpoints that can serve a statement can run.
 *
 * @param slots the number of statements that they run concurrently
 * @param startableEndpoints the number of them where a statement can start now
 * @param serviceMilliseconds the mean service time of a statement
 * @param unavailableMilliseconds how long none of them can start a statement, whatever waits
 */
public record Capacity(
    int slots, int startableEndpoints, double serviceMilliseconds, double unavailableMilliseconds) {
  /** Creates a capacity; a service time of less than a millisecond counts as one. */
  public Capacity {
    serviceMilliseconds = Math.max(1, serviceMilliseconds);
  }
}
