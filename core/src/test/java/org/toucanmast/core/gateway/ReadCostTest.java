package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ReadCostTest {
  private static final int SLOTS = 4;

  private record Run(int endpoint, long endsAt) {}

  private record Outcome(double localShare, double meanRunning) {}

  /** Replays reads at two replicas, of which the first is local; returns where they ran. */
  private static Outcome replay(double readsPerSecond, boolean preferLocal) {
    Random random = new Random(20261204);
    List<Run> running = new ArrayList<>();
    double now = 0;
    int local = 0;
    double sumOfRunning = 0;
    int reads = 5_000;
    for (int read = 0; read < reads; read++) {
      now += -Math.log(1 - random.nextDouble()) * 1_000 / readsPerSecond;
      double arrival = now;
      running.removeIf(run -> run.endsAt() <= arrival);
      double[] cost = new double[2];
      long[] count = new long[2];
      for (int endpoint = 0; endpoint < 2; endpoint++) {
        int candidate = endpoint;
        count[endpoint] = running.stream().filter(run -> run.endpoint() == candidate).count();
        double load = (double) count[endpoint] / SLOTS;
        cost[endpoint] = new ReadCost(load, true, false, !preferLocal || endpoint == 0).value();
      }
      int chosen = cost[0] == cost[1] ? random.nextInt(2) : cost[0] < cost[1] ? 0 : 1;
      local += chosen == 0 ? 1 : 0;
      sumOfRunning += count[chosen];
      running.add(new Run(chosen, (long) (now + 24)));
    }
    return new Outcome((double) local / reads, sumOfRunning / reads);
  }

  @Test
  void should_keep_reads_in_the_data_centre_while_slots_are_free() {
    Outcome before = replay(20, false);
    Outcome after = replay(20, true);
    System.out.printf("local share of reads at low load: %s, before %s%n", after, before);

    assertThat(after.localShare()).isGreaterThan(0.6);
    assertThat(after.meanRunning()).isLessThan(before.meanRunning() + 0.5);
  }

  @Test
  void should_share_the_load_when_both_endpoints_are_busy() {
    Outcome before = replay(200, false);
    Outcome after = replay(200, true);
    System.out.printf("local share of reads under load: %s, before %s%n", after, before);

    assertThat(after.localShare()).isBetween(0.45, 0.6);
    assertThat(after.meanRunning()).isLessThan(before.meanRunning() * 1.1);
  }

  @Test
  void should_prefer_an_idle_replica_elsewhere_to_the_primary_or_a_new_connection() {
    double remoteReplica = new ReadCost(0, true, false, false).value();

    assertThat(remoteReplica).isLessThan(new ReadCost(0, true, true, true).value());
    assertThat(remoteReplica).isLessThan(new ReadCost(0, false, false, true).value());
  }
}
