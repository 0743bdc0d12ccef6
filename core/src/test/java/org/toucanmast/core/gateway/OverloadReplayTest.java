package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Replays arrivals with a fixed seed against slots with random service times. */
class OverloadReplayTest {
  private static final int SLOTS = 3;
  private static final double MEAN_SERVICE = 24;
  private static final double GOAL = 400;
  private static final double TIMEOUT = 1_000;
  private static final double LENGTH = 30_000;

  private record Arrival(String customer, double at, double service) {}

  /** What became of the arrivals. */
  private static final class Result {
    private int inGoal;
    private int late;
    private int refusedAtOnce;
    private int heldToTimeout;
    private int quietInGoal;
    private int quiet;

    @Override
    public String toString() {
      return "in goal %d, late %d, refused at once %d, held to timeout %d, others in goal %d of %d"
          .formatted(inGoal, late, refusedAtOnce, heldToTimeout, quietInGoal, quiet);
    }
  }

  /** One customer sends many times its usual. */
  private static PriorityQueue<Arrival> arrivals(double loudPerSecond, double quietPerSecond) {
    Random random = new Random(42);
    PriorityQueue<Arrival> arrivals = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
    fill(arrivals, random, "loud", loudPerSecond);
    for (int i = 0; i < 4; i++) {
      fill(arrivals, random, "quiet-" + i, quietPerSecond / 4);
    }
    return arrivals;
  }

  private static void fill(
      PriorityQueue<Arrival> arrivals, Random random, String customer, double perSecond) {
    double at = 0;
    while (at < LENGTH) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      double service = MEAN_SERVICE * (0.5 + random.nextDouble());
      arrivals.add(new Arrival(customer, at, service));
    }
  }

  private static Result replay(PriorityQueue<Arrival> arrivals, boolean fair, boolean admission) {
    return replay(arrivals, fair, admission, 0);
  }

  /** Nothing can be served before the given time. */
  private static Result replay(
      PriorityQueue<Arrival> arrivals, boolean fair, boolean admission, double servedFrom) {
    Result result = new Result();
    WorkQueue<Arrival> queue = new WorkQueue<>();
    PriorityQueue<Double> busyUntil = new PriorityQueue<>();
    ServiceTimes times = new ServiceTimes(MEAN_SERVICE);
    while (!arrivals.isEmpty()) {
      Arrival arrival = arrivals.poll();
      if (arrival.at() >= servedFrom) {
        serveUntil(arrival.at(), queue, busyUntil, times, result);
      }
      result.quiet += arrival.customer().startsWith("quiet") ? 1 : 0;
      int free = arrival.at() < servedFrom ? 0 : SLOTS - busyUntil.size();
      String lane = fair ? arrival.customer() : "all";
      double byQueue = Admission.expectedWait(queue.aheadOf(0, lane), SLOTS, free, times.mean());
      double wait = Admission.expectedWait(byQueue, queue.backlogTime(0, lane));
      if (admission && !Admission.admits(wait, times.mean(), (long) TIMEOUT)) {
        result.refusedAtOnce++;
      } else {
        queue.offer(0, lane, arrival);
      }
      if (arrival.at() >= servedFrom) {
        serveUntil(arrival.at(), queue, busyUntil, times, result);
      }
    }
    serveUntil(LENGTH * 2, queue, busyUntil, times, result);
    return result;
  }

  private static void serveUntil(
      double now,
      WorkQueue<Arrival> queue,
      PriorityQueue<Double> busyUntil,
      ServiceTimes times,
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
      if (waited > TIMEOUT) {
        result.heldToTimeout++;
        continue;
      }
      busyUntil.add(start + next.get().service());
      times.observe(next.get().service());
      boolean inGoal = waited + next.get().service() <= GOAL;
      result.inGoal += inGoal ? 1 : 0;
      result.late += inGoal ? 0 : 1;
      result.quietInGoal += inGoal && next.get().customer().startsWith("quiet") ? 1 : 0;
    }
  }

  @Test
  void should_refuse_at_once_instead_of_holding_to_the_timeout() {
    Result before = replay(arrivals(200, 60), true, false);
    Result after = replay(arrivals(200, 60), true, true);
    System.out.println("without admission: " + before);
    System.out.println("with admission:    " + after);

    assertThat(before.heldToTimeout).isPositive();
    assertThat(after.heldToTimeout).isZero();
    assertThat(after.refusedAtOnce).isPositive();
    assertThat(after.inGoal + after.late).isGreaterThan((before.inGoal + before.late) * 98 / 100);
  }

  @Test
  void should_keep_other_customers_in_time_while_one_sends_many_times_its_usual() {
    Result before = replay(arrivals(200, 60), false, true);
    Result after = replay(arrivals(200, 60), true, true);
    System.out.println("one queue:           " + before);
    System.out.println("a queue a customer:  " + after);

    assertThat(after.quietInGoal).isGreaterThan(before.quietInGoal);
  }

  /** The endpoints cannot be used for a while, as after a restart of all VMs. */
  @Test
  void should_refuse_nothing_of_a_backlog_that_is_cleared_in_time() {
    Result result = replay(arrivals(30, 60), true, true, 300);
    System.out.println("nothing served at first: " + result);

    assertThat(result.refusedAtOnce).isZero();
  }

  @Test
  void should_refuse_nothing_while_slots_are_free() {
    Result result = replay(arrivals(10, 20), true, true);

    assertThat(result.refusedAtOnce).isZero();
    assertThat(result.heldToTimeout).isZero();
  }
}
