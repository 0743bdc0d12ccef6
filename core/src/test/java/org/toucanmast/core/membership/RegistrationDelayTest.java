package org.toucanmast.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RegistrationDelayTest {
  private static final int SECOND_IN_MILLISECONDS = 1_000;

  /** Writes of VMs in each second after a restore, if all entries were lost. */
  private static Map<Long, Long> writesBySecond(int members) {
    return IntStream.range(0, members)
        .mapToLong(vm -> RegistrationDelay.inMilliseconds("front-dc-" + vm, members))
        .boxed()
        .collect(Collectors.groupingBy(d -> d / SECOND_IN_MILLISECONDS, Collectors.counting()));
  }

  @Test
  void should_stay_below_the_rate_of_writes_that_the_store_serves() {
    int writesOfSecondOfLargeStore = 3_200;

    assertThat(writesBySecond(3_900).values()).allMatch(w -> w < writesOfSecondOfLargeStore / 4);
  }

  @Test
  void should_register_all_vms_of_a_small_fleet_within_the_time_to_write_again() {
    for (int vm = 0; vm < 95; vm++) {
      assertThat(RegistrationDelay.inMilliseconds("front-" + vm, 95)).isBetween(1L, 1_000L);
    }
  }

  @Test
  void should_register_all_vms_of_a_large_fleet_before_others_remove_them() {
    assertThat(writesBySecond(3_900).keySet()).allMatch(second -> second < 9);
  }
}
