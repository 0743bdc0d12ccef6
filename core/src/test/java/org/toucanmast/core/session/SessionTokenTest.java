package org.toucanmast.core.session;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.group.Position;

class SessionTokenTest {

  @Property(seed = "7")
  void should_decode_an_encoded_token(
      @ForAll @LongRange(max = 1L << 40) long term,
      @ForAll @LongRange(max = 1L << 40) long index,
      @ForAll @LongRange(max = 1L << 40) long uncertainTerm)
      throws InvalidSessionTokenException {
    SessionToken token =
        new SessionToken(
            Map.of("stock", new SessionView(new Position(term, index), uncertainTerm)));

    assertThat(SessionToken.decode(token.encode())).isEqualTo(token);
  }

  @Property(seed = "8")
  void should_refuse_invalid_text_with_a_session_token_error(@ForAll String text) {
    try {
      SessionToken.decode(text);
    } catch (InvalidSessionTokenException e) {
      assertThat(e).hasMessageContaining("session token");
    }
  }

  @Test
  void should_not_advance_to_an_earlier_position() {
    SessionToken token = SessionToken.empty().advance("stock", new Position(2, 9));

    assertThat(token.advance("stock", new Position(2, 3))).isEqualTo(token);
    assertThat(token.advance("stock", new Position(1, 50))).isEqualTo(token);
  }

  @Test
  void should_stay_uncertain_until_a_later_term_is_confirmed() {
    SessionView view = SessionView.EMPTY.uncertain(3);

    assertThat(view.afterConfirmedTerm(3).isUncertain()).isTrue();
    assertThat(view.afterConfirmedTerm(4).isUncertain()).isFalse();
  }

  @Test
  void should_refuse_an_oversized_token() {
    assertThatThrownBy(() -> SessionToken.decode("A".repeat(20_000)))
        .isInstanceOf(InvalidSessionTokenException.class)
        .hasMessageContaining("longer than");
  }
}
