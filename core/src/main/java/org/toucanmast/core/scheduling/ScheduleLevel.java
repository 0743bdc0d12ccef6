package org.toucanmast.core.scheduling;

import java.util.EnumMap;
import java.util.Map;

/**
 * The waiting statements of one priority that need the same endpoints: only the primary, or any
 * endpoint.
 *
 * @param <T> the waiting statement
 */
final class ScheduleLevel<T> {
  private final Map<TimeClass, TurnQueue<T>> queues = new EnumMap<>(TimeClass.class);
  private final ArrivalRate arrivals = new ArrivalRate();

  ScheduleLevel() {
    for (TimeClass timeClass : TimeClass.values()) {
      queues.put(timeClass, new TurnQueue<>());
    }
  }

  TurnQueue<T> queue(TimeClass timeClass) {
    return queues.get(timeClass);
  }

  void onAdmitted(long now) {
    arrivals.onArrival(now);
  }

  /** Returns the rate at which statements were admitted. */
  double admittedPerMillisecond(long now) {
    return arrivals.perMillisecond(now);
  }

  int size() {
    return queue(TimeClass.OBJECTIVE).size() + queue(TimeClass.DEADLINE).size();
  }

  /** Returns whether a statement has waited longer than its objective. */
  boolean isStarved(long now) {
    return queues.values().stream()
        .anyMatch(queue -> queue.anyOldestMatches(entry -> now > entry.terms().objectiveAt()));
  }

  boolean contains(StatementTerms terms) {
    return queues.values().stream().anyMatch(queue -> queue.contains(terms));
  }
}
