package org.toucanmast.core.mirror;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class StoreEraTest {
  private final StoreEra era = new StoreEra();

  @Test
  void should_not_take_the_first_era_for_one_that_has_just_begun() {
    assertThat(era.onAnswer(3, 100)).isFalse();

    assertThat(era.number()).isEqualTo(3);
    assertThat(era.beganAt()).isEmpty();
  }

  @Test
  void should_see_the_beginning_of_a_later_era_once() {
    era.onAnswer(1, 100);

    assertThat(era.onAnswer(2, 200)).isTrue();
    assertThat(era.onAnswer(2, 300)).isFalse();
    assertThat(era.ageInMilliseconds(350)).hasValue(150);
  }

  @Test
  void should_ignore_an_answer_of_an_earlier_era_that_arrives_late() {
    era.onAnswer(1, 100);
    era.onAnswer(2, 200);

    assertThat(era.onAnswer(1, 300)).isFalse();
    assertThat(era.number()).isEqualTo(2);
  }

  @Test
  void should_learn_from_a_peer_how_long_the_era_has_been_in_force() {
    era.onAnswer(1, 100);
    era.onAnswer(2, 5_000);

    assertThat(era.onPeer(2, OptionalLong.of(3_000), 5_100)).isFalse();
    assertThat(era.beganAt()).hasValue(2_100);
  }

  @Test
  void should_learn_a_later_era_from_a_peer() {
    era.onAnswer(1, 100);

    assertThat(era.onPeer(2, OptionalLong.of(400), 1_000)).isTrue();
    assertThat(era.beganAt()).hasValue(600);
  }

  @Test
  void should_learn_the_age_of_the_first_era_from_a_peer_that_saw_its_beginning() {
    era.onAnswer(2, 1_000);
    era.onPeer(2, OptionalLong.of(400), 1_000);

    assertThat(era.beganAt()).hasValue(600);
  }

  @Test
  void should_order_positions_by_era_before_revision() {
    assertThat(new StorePosition(2, 3).isAfter(new StorePosition(1, 25))).isTrue();
    assertThat(new StorePosition(2, 3).isAfter(new StorePosition(2, 3))).isFalse();
    assertThat(StorePosition.NONE.isAfter(new StorePosition(0, 0))).isFalse();
    assertThatIllegalArgumentException()
        .isThrownBy(() -> new StorePosition(-1, 0))
        .withMessageContaining("era >= 0");
  }

  @Test
  void should_have_higher_numbers_at_later_positions() {
    assertThat(new StorePosition(2, 3).toNumber())
        .isGreaterThan(new StorePosition(1, 1_000_000).toNumber());
    assertThat(new StorePosition(2, 4).toNumber())
        .isGreaterThan(new StorePosition(2, 3).toNumber());
    assertThat(new StorePosition(0, 11).toNumber()).isEqualTo(11);
  }

  @Test
  void should_refuse_a_number_for_a_position_that_it_cannot_express() {
    assertThatIllegalArgumentException()
        .isThrownBy(() -> new StorePosition(1, 1L << 40).toNumber())
        .withMessageContaining("below 2^40");
    assertThatIllegalArgumentException()
        .isThrownBy(() -> new StorePosition(1L << 20, 1).toNumber());
  }

  @Test
  void should_return_the_position_of_a_number() {
    StorePosition position = new StorePosition(7, 123_456);

    assertThat(StorePosition.ofNumber(position.toNumber())).isEqualTo(position);
    assertThat(StorePosition.ofNumber(0)).isEqualTo(new StorePosition(0, 0));
  }
}
