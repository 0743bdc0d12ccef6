package org.toucanmast.core.scheduling;

/**
 * An endpoint at which a read could run.
 *
 * @param endpoint the endpoint
 * @param primary whether it is the primary
 * @param canStart whether the read can start there now; at the primary, outside its reserve
 * @param slots the number of slots that reads may use there
 * @param serviceMilliseconds the mean service time there
 * @param millisecondsUntilHeld the time until its log covers the required position; 0 if it
 *     probably does, infinite if it is not known to
 * @param cost the cost of the read there; the lowest is preferred
 * @param <E> the type of the endpoint
 */
public record ReadOption<E>(
    E endpoint,
    boolean primary,
    boolean canStart,
    int slots,
    double serviceMilliseconds,
    double millisecondsUntilHeld,
    double cost) {
  /** Returns whether the endpoint's log probably covers the required position. */
  public boolean isHeld() {
    return primary || millisecondsUntilHeld <= 0;
  }
}
