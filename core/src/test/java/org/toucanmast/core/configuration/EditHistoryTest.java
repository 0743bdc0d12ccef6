package org.toucanmast.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EditHistoryTest {
  private static EditHistory history(String... ids) {
    return new EditHistory(List.of(ids));
  }

  private static FleetConfiguration configuration(long revision) {
    return new FleetConfiguration(revision, Map.of(), Map.of(), Map.of(), Set.of(), Map.of());
  }

  @Test
  void should_be_before_a_history_that_continues_it() {
    assertThat(history("a", "b").isBefore(history("a", "b", "c"))).isTrue();
    assertThat(history().isBefore(history("a"))).isTrue();
    assertThat(history("a", "b").isBefore(history("b", "c"))).isTrue();
  }

  @Test
  void should_not_be_before_a_history_that_lacks_its_last_edit() {
    assertThat(history("a", "d").isBefore(history("a", "b", "c"))).isFalse();
    assertThat(history("a", "b").isBefore(history("a", "b"))).isFalse();
    assertThat(history("a", "b", "c").isBefore(history("a", "b"))).isFalse();
    assertThat(history("a").isBefore(history())).isFalse();
  }

  @Test
  void should_confirm_the_configuration_in_force_by_the_outdated_revision_of_the_platform() {
    ConfigurationState state = new ConfigurationState();
    state.replaceIfNewer(configuration(5));
    state.confirm(9, 1_000);
    assertThat(state.confirmationAgeInNanoseconds(2_000)).isEqualTo(-1);

    state.keepAgainst(9);
    state.confirm(9, 1_000);
    assertThat(state.confirmationAgeInNanoseconds(2_000)).isEqualTo(1_000);
    assertThat(state.isKeptAgainst(9)).isTrue();

    state.replaceIfNewer(configuration(10));
    assertThat(state.isKeptAgainst(9)).isFalse();
  }
}
