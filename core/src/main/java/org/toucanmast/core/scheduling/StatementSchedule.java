package org.toucanmast.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * The statements that wait at a gateway: their admission, and the order in which they run.
 *
 * <p>Load: bursts of less urgent statements and a customer with many times its usual rate, while
 * the endpoints that hold the data have too few slots. Statements run by priority. Within one,
 * those that can meet their objective run before those that can only meet their deadline. A starved
 * lower priority gets one of every ten places. One estimate decides admission and class.
 *
 * @param <T> the waiting statement
 */
public final class StatementSchedule<T> {
  /** Reads of one priority and class that are tried in one search for a read that can start. */
  private static final int MAXIMUM_ATTEMPTED_READS = 16;

  /** Maximum number of waiting statements; bounds the memory of a VM with a small heap. */
  private static final int MAXIMUM_WAITING = 8_192;

  /** Decides whether a read can start now. */
  @FunctionalInterface
  public interface ReadStart<T> {
    /** Decides where the read runs, or when it is considered again. */
    ReadDecision<?> decide(T read);
  }

  /**
   * A statement that is refused, with the estimate that refused it.
   *
   * @param item the statement
   * @param estimate the estimate
   * @param <T> the waiting statement
   */
  public record Refusal<T>(T item, WaitEstimate estimate) {}

  private final TreeMap<Integer, ScheduleLevel<T>> primaryLevels = new TreeMap<>();
  private final TreeMap<Integer, ScheduleLevel<T>> readLevels = new TreeMap<>();
  private final ServiceShare share = new ServiceShare();
  private int size;

  private TreeMap<Integer, ScheduleLevel<T>> levels(boolean primaryOnly) {
    return primaryOnly ? primaryLevels : readLevels;
  }

  private ScheduleLevel<T> level(StatementTerms terms) {
    return levels(terms.primaryOnly())
        .computeIfAbsent(terms.priority(), any -> new ScheduleLevel<>());
  }

  /**
   * Estimates when a statement runs if it waits in a class.
   *
   * @param sooner another way to serve it: the time until a replica covers the required position
   */
  private WaitEstimate estimate(
      StatementTerms terms, TimeClass timeClass, Capacity capacity, double sooner, long now) {
    int ahead = 0;
    double overtaking = 0;
    for (ScheduleLevel<T> moreUrgent :
        levels(terms.primaryOnly()).headMap(terms.priority(), false).values()) {
      ahead += moreUrgent.size();
      overtaking += moreUrgent.admittedPerMillisecond(now);
    }
    ScheduleLevel<T> own = level(terms);
    ahead += own.queue(timeClass).aheadOf(terms.customer());
    if (timeClass == TimeClass.DEADLINE) {
      ahead += own.queue(TimeClass.OBJECTIVE).size();
    }
    return WaitEstimate.of(capacity, ahead, overtaking).orSooner(sooner);
  }

  /**
   * Admits a statement that has arrived, or refuses it because it is not expected to complete
   * before its deadline. A statement that can start now is always admitted.
   *
   * @param capacity the capacity of the endpoints that can serve it
   * @param untilReplica the time until a replica can serve a read that only the primary can serve
   *     now, in milliseconds; infinite if there is none
   * @return the estimate that refused the statement; empty if it was admitted
   */
  public Optional<WaitEstimate> offer(
      T item, StatementTerms terms, Capacity capacity, double untilReplica, long now) {
    for (TimeClass timeClass : TimeClass.values()) {
      WaitEstimate estimate = estimate(terms, timeClass, capacity, untilReplica, now);
      boolean fits = size < MAXIMUM_WAITING && estimate.meets(timeClass.limit(terms), now);
      if (fits) {
        level(terms).onAdmitted(now);
        level(terms).queue(timeClass).add(new TurnQueue.Entry<>(item, terms), false);
        size++;
        return Optional.empty();
      }
      if (timeClass == TimeClass.DEADLINE) {
        return Optional.of(estimate);
      }
    }
    throw new IllegalStateException("a statement was neither admitted nor refused");
  }

  /**
   * Puts a statement back at its former place, for another attempt. Nothing is done if it waits
   * already.
   */
  public void restore(T item, StatementTerms terms, double serviceMilliseconds, long now) {
    if (level(terms).contains(terms)) {
      return;
    }
    TimeClass timeClass =
        TimeClass.OBJECTIVE.canMeet(terms, serviceMilliseconds, now)
            ? TimeClass.OBJECTIVE
            : TimeClass.DEADLINE;
    level(terms).queue(timeClass).add(new TurnQueue.Entry<>(item, terms), true);
    size++;
  }

  /**
   * Removes and returns the next statement that can start.
   *
   * @param primaryFree whether a statement that only the primary can run could start now
   * @param readStart decides for a read
   * @param serviceMilliseconds the mean service time of a statement
   */
  public Optional<T> take(
      boolean primaryFree, ReadStart<T> readStart, double serviceMilliseconds, long now) {
    List<Integer> priorities = new ArrayList<>(primaryLevels.keySet());
    readLevels.keySet().stream()
        .filter(priority -> !primaryLevels.containsKey(priority))
        .forEach(priorities::add);
    priorities.sort(null);
    priorities.removeIf(priority -> sizeOf(priority) == 0);
    Search search = new Search(primaryFree, readStart, serviceMilliseconds, now);
    if (share.isDue()) {
      for (int priority : priorities.subList(Math.min(1, priorities.size()), priorities.size())) {
        Optional<T> shared = isStarved(priority, now) ? search.in(priority) : Optional.empty();
        if (shared.isPresent()) {
          share.onSharedPlace();
          return shared;
        }
      }
    }
    for (int index = 0; index < priorities.size(); index++) {
      Optional<T> next = search.in(priorities.get(index));
      if (next.isPresent()) {
        boolean othersStarved =
            priorities.subList(index + 1, priorities.size()).stream()
                .anyMatch(priority -> isStarved(priority, now));
        if (othersStarved) {
          share.onUrgentPlace();
        }
        return next;
      }
    }
    return Optional.empty();
  }

  private int sizeOf(int priority) {
    return (primaryLevels.containsKey(priority) ? primaryLevels.get(priority).size() : 0)
        + (readLevels.containsKey(priority) ? readLevels.get(priority).size() : 0);
  }

  private boolean isStarved(int priority, long now) {
    return primaryLevels.containsKey(priority) && primaryLevels.get(priority).isStarved(now)
        || readLevels.containsKey(priority) && readLevels.get(priority).isStarved(now);
  }

  /** One search for the next statement. */
  private final class Search {
    private final boolean primaryFree;
    private final ReadStart<T> readStart;
    private final double serviceMilliseconds;
    private final long now;

    private Search(
        boolean primaryFree, ReadStart<T> readStart, double serviceMilliseconds, long now) {
      this.primaryFree = primaryFree;
      this.readStart = readStart;
      this.serviceMilliseconds = serviceMilliseconds;
      this.now = now;
    }

    /** Takes the next statement of a priority: first those that only the primary can run. */
    private Optional<T> in(int priority) {
      Optional<T> next = Optional.empty();
      if (primaryFree && primaryLevels.containsKey(priority)) {
        next = takeFrom(primaryLevels.get(priority), entry -> true);
      }
      if (next.isEmpty() && readLevels.containsKey(priority)) {
        next = takeFrom(readLevels.get(priority), this::canStartRead);
      }
      return next;
    }

    private Optional<T> takeFrom(ScheduleLevel<T> level, Predicate<TurnQueue.Entry<T>> canStart) {
      Optional<T> next =
          takeFrom(level.queue(TimeClass.OBJECTIVE), entry -> !isLate(entry), canStart);
      if (next.isEmpty()) {
        next = takeFrom(level.queue(TimeClass.DEADLINE), entry -> true, canStart);
      }
      return next.isPresent()
          ? next
          : takeFrom(level.queue(TimeClass.OBJECTIVE), this::isLate, canStart);
    }

    private Optional<T> takeFrom(
        TurnQueue<T> queue,
        Predicate<TurnQueue.Entry<T>> isConsidered,
        Predicate<TurnQueue.Entry<T>> canStart) {
      if (queue.size() == 0) {
        return Optional.empty();
      }
      int[] attempted = new int[1];
      Optional<TurnQueue.Entry<T>> found =
          queue.find(
              now,
              entry ->
                  isConsidered.test(entry)
                      && attempted[0]++ < MAXIMUM_ATTEMPTED_READS
                      && canStart.test(entry));
      if (found.isEmpty()) {
        return Optional.empty();
      }
      queue.serve(found.get());
      size--;
      return Optional.of(found.get().item());
    }

    private boolean isLate(TurnQueue.Entry<T> entry) {
      return !TimeClass.OBJECTIVE.canMeet(entry.terms(), serviceMilliseconds, now);
    }

    private boolean canStartRead(TurnQueue.Entry<T> entry) {
      ReadDecision<?> decision = readStart.decide(entry.item());
      entry.pauseUntil(decision.reconsiderAt());
      return decision.endpoint().isPresent();
    }
  }

  /**
   * Estimates the statements again that can no longer meet their objective. Those that are still
   * expected to complete before their deadline move to the second class; the others are removed and
   * returned.
   *
   * @param capacity returns the capacity of the endpoints that can serve a statement
   * @param untilReplica returns the time until a replica can serve a statement, in milliseconds
   */
  public List<Refusal<T>> estimateAgain(
      Function<T, Capacity> capacity,
      Function<T, Double> untilReplica,
      double serviceMilliseconds,
      long now) {
    List<Refusal<T>> refusals = new ArrayList<>();
    for (Map<Integer, ScheduleLevel<T>> levels : List.of(primaryLevels, readLevels)) {
      for (ScheduleLevel<T> level : levels.values()) {
        List<TurnQueue.Entry<T>> late =
            level
                .queue(TimeClass.OBJECTIVE)
                .removeIf(
                    entry -> !TimeClass.OBJECTIVE.canMeet(entry.terms(), serviceMilliseconds, now));
        for (TurnQueue.Entry<T> entry : late) {
          WaitEstimate estimate =
              estimate(
                  entry.terms(),
                  TimeClass.DEADLINE,
                  capacity.apply(entry.item()),
                  untilReplica.apply(entry.item()),
                  now);
          if (estimate.meets(entry.terms().deadline(), now)) {
            level.queue(TimeClass.DEADLINE).add(entry, false);
          } else {
            size--;
            refusals.add(new Refusal<>(entry.item(), estimate));
          }
        }
      }
    }
    return refusals;
  }

  /** Removes and returns all statements that match the condition. */
  public List<T> removeIf(Predicate<T> condition) {
    List<T> removed = new ArrayList<>();
    for (Map<Integer, ScheduleLevel<T>> levels : List.of(primaryLevels, readLevels)) {
      for (ScheduleLevel<T> level : levels.values()) {
        for (TimeClass timeClass : TimeClass.values()) {
          level
              .queue(timeClass)
              .removeIf(entry -> condition.test(entry.item()))
              .forEach(entry -> removed.add(entry.item()));
        }
      }
    }
    size -= removed.size();
    return removed;
  }

  /** Returns the number of waiting statements that only the primary can run. */
  public int waitingForPrimary() {
    return primaryLevels.values().stream().mapToInt(ScheduleLevel::size).sum();
  }

  /** Returns the number of waiting statements. */
  public int size() {
    return size;
  }
}
