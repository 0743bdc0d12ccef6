package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Simulates an overloaded gateway: arrivals generated from a fixed seed, and slots with random
 * service times. Guards against statements that wait until they time out, and against a customer
 * whose overload delays the others.
 */
class OverloadReplayTest {
  private static final int SLOTS = 3;
  private static final double MEAN_SERVICE_MILLISECONDS = 24;
  private static final double GOAL_MILLISECONDS = 400;
  private static final double TIMEOUT_MILLISECONDS = 1_000;
  private static final double DURATION_MILLISECONDS = 30_000;

  private record Arrival(String customer, double at, double service) {}

  /** Number of arrivals by outcome. */
  private static final class Result {
    private int withinGoal;
    private int late;
    private int refusedOnArrival;
    private int timedOut;
    private int othersWithinGoal;
    private int others;

    @Override
    public String toString() {
      return "within goal %d, late %d, refused on arrival %d, timed out %d, others within goal %d of %d"
          .formatted(withinGoal, late, refusedOnArrival, timedOut, othersWithinGoal, others);
    }
  }

  /** Generates arrivals of one busy customer and four normal ones, at the given total rates. */
  private static PriorityQueue<Arrival> arrivals(double busyPerSecond, double othersPerSecond) {
    Random random = new Random(42);
    PriorityQueue<Arrival> arrivals = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
    fill(arrivals, random, "busy", busyPerSecond);
    for (int i = 0; i < 4; i++) {
      fill(arrivals, random, "other-" + i, othersPerSecond / 4);
    }
    return arrivals;
  }

  private static void fill(
      PriorityQueue<Arrival> arrivals, Random random, String customer, double perSecond) {
    double at = 0;
    while (at < DURATION_MILLISECONDS) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      double service = MEAN_SERVICE_MILLISECONDS * (0.5 + random.nextDouble());
      arrivals.add(new Arrival(customer, at, service));
    }
  }

  private static Result replay(PriorityQueue<Arrival> arrivals, boolean fair, boolean admission) {
    return replay(arrivals, fair, admission, 0);
  }

  /** Replays the arrivals; no statement is served before the given time. */
  private static Result replay(
      PriorityQueue<Arrival> arrivals, boolean fair, boolean admission, double serviceStart) {
    Result result = new Result();
    WorkQueue<Arrival> queue = new WorkQueue<>();
    PriorityQueue<Double> busyUntil = new PriorityQueue<>();
    ServiceTimeEstimate times = new ServiceTimeEstimate(MEAN_SERVICE_MILLISECONDS);
    while (!arrivals.isEmpty()) {
      Arrival arrival = arrivals.poll();
      if (arrival.at() >= serviceStart) {
        serveUntil(arrival.at(), queue, busyUntil, times, result);
      }
      result.others += arrival.customer().startsWith("other") ? 1 : 0;
      int free = arrival.at() < serviceStart ? 0 : SLOTS - busyUntil.size();
      String queueKey = fair ? arrival.customer() : "all";
      double queueMilliseconds =
          Admission.expectedWait(queue.aheadOf(0, queueKey), SLOTS, free, times.mean());
      double wait =
          Admission.expectedWait(queueMilliseconds, queue.backlogMilliseconds(0, queueKey));
      if (admission && !Admission.admits(wait, times.mean(), (long) TIMEOUT_MILLISECONDS)) {
        result.refusedOnArrival++;
      } else {
        queue.offer(0, queueKey, arrival);
      }
      if (arrival.at() >= serviceStart) {
        serveUntil(arrival.at(), queue, busyUntil, times, result);
      }
    }
    serveUntil(DURATION_MILLISECONDS * 2, queue, busyUntil, times, result);
    return result;
  }

  private static void serveUntil(
      double now,
      WorkQueue<Arrival> queue,
      PriorityQueue<Double> busyUntil,
      ServiceTimeEstimate times,
      Result result) {
    while (true) {
      double free = now;
      if (busyUntil.size() >= SLOTS) {
        if (busyUntil.peek() > now) {
          return;
        }
        free = busyUntil.poll();
      }
      Optional<Arrival> next = queue.poll((long) free);
      if (next.isEmpty()) {
        return;
      }
      double start = free;
      double waited = start - next.get().at();
      if (waited > TIMEOUT_MILLISECONDS) {
        result.timedOut++;
        continue;
      }
      busyUntil.add(start + next.get().service());
      times.observe(next.get().service());
      boolean withinGoal = waited + next.get().service() <= GOAL_MILLISECONDS;
      result.withinGoal += withinGoal ? 1 : 0;
      result.late += withinGoal ? 0 : 1;
      result.othersWithinGoal += withinGoal && next.get().customer().startsWith("other") ? 1 : 0;
    }
  }

  @Test
  void should_refuse_on_arrival_instead_of_timing_out() {
    Result before = replay(arrivals(200, 60), true, false);
    Result after = replay(arrivals(200, 60), true, true);
    System.out.println("without admission: " + before);
    System.out.println("with admission:    " + after);

    assertThat(before.timedOut).isPositive();
    assertThat(after.timedOut).isZero();
    assertThat(after.refusedOnArrival).isPositive();
    assertThat(after.withinGoal + after.late)
        .isGreaterThan((before.withinGoal + before.late) * 98 / 100);
  }

  @Test
  void should_meet_goal_for_other_customers_while_one_overloads() {
    Result before = replay(arrivals(200, 60), false, true);
    Result after = replay(arrivals(200, 60), true, true);
    System.out.println("single queue:        " + before);
    System.out.println("queue per customer:  " + after);

    assertThat(after.othersWithinGoal).isGreaterThan(before.othersWithinGoal);
  }

  /** The endpoints are unavailable at first, as after a restart of all VMs. */
  @Test
  void should_not_refuse_backlog_that_is_cleared_in_time() {
    Result result = replay(arrivals(30, 60), true, true, 300);
    System.out.println("service starts late: " + result);

    assertThat(result.refusedOnArrival).isZero();
  }

  @Test
  void should_not_refuse_statements_while_slots_are_free() {
    Result result = replay(arrivals(10, 20), true, true);

    assertThat(result.refusedOnArrival).isZero();
    assertThat(result.timedOut).isZero();
  }
}
