package org.toucanmast.core.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * What to do with a read that any endpoint with a recent enough log may serve.
 *
 * <p>Load: replicas lag, and reads need positions that only the primary has. Such a read waits for
 * a replica while the primary is busy and the replica catches up within the objective. Otherwise it
 * waits for a slot of the primary outside the reserve.
 *
 * @param endpoint the endpoint to run the read at now; empty if it waits
 * @param reconsiderAt when a read that waits for a replica is considered again, in milliseconds;
 *     the present time if it only waits for a slot
 * @param <E> the type of the endpoint
 */
public record ReadDecision<E>(Optional<E> endpoint, long reconsiderAt) {
  /**
   * A read that waits for a replica is considered again after this time at the latest, because the
   * estimate of the lag and the load of the primary change.
   */
  private static final long MAXIMUM_PAUSE_IN_MILLISECONDS = 20;

  /** Returns the decision to wait until something changes, but to reconsider soon. */
  public static <E> ReadDecision<E> pause(long now) {
    return new ReadDecision<>(Optional.empty(), now + MAXIMUM_PAUSE_IN_MILLISECONDS);
  }

  /**
   * Decides where a read runs now.
   *
   * @param objectiveAt when the objective of the read ends, in milliseconds
   */
  public static <E> ReadDecision<E> decide(
      List<ReadOption<E>> options, long objectiveAt, long now) {
    Optional<E> startable =
        options.stream()
            .filter(option -> option.isHeld() && option.canStart())
            .min(Comparator.comparingDouble(ReadOption::cost))
            .map(ReadOption::endpoint);
    boolean replicaHolds =
        options.stream().anyMatch(option -> option.isHeld() && !option.primary());
    double untilHeld = millisecondsUntilReplica(options);
    if (startable.isPresent() || replicaHolds || now + untilHeld > objectiveAt) {
      return new ReadDecision<>(startable, now);
    }
    long pause = Math.max(1, (long) Math.min(untilHeld, MAXIMUM_PAUSE_IN_MILLISECONDS));
    return new ReadDecision<>(Optional.empty(), now + pause);
  }

  /**
   * Returns the time until a replica covers the required position, in milliseconds; infinite if
   * none is expected to.
   */
  public static <E> double millisecondsUntilReplica(List<ReadOption<E>> options) {
    return options.stream()
        .filter(option -> !option.primary())
        .mapToDouble(ReadOption::millisecondsUntilHeld)
        .min()
        .orElse(Double.POSITIVE_INFINITY);
  }

  /**
   * Returns the capacity of the endpoints that hold the position of a read.
   *
   * @param outageMilliseconds how long the primary is expected to be unavailable
   */
  public static <E> Capacity capacity(List<ReadOption<E>> options, double outageMilliseconds) {
    int slots = 0;
    int startable = 0;
    int holders = 0;
    double service = 0;
    boolean onlyPrimary = true;
    for (ReadOption<E> option : options) {
      if (option.isHeld()) {
        slots += option.slots();
        startable += option.canStart() ? 1 : 0;
        service += option.serviceMilliseconds();
        holders++;
        onlyPrimary &= option.primary();
      }
    }
    return new Capacity(
        slots, startable, service / Math.max(1, holders), onlyPrimary ? outageMilliseconds : 0);
  }
}
