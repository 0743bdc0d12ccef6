package org.toucanmast.core.statement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class OperationTest {
  @ParameterizedTest
  @EnumSource(names = {"WRITE", "COMMIT"})
  void should_promise_nothing_when_the_answer_to_what_may_have_taken_effect_is_lost(
      Operation operation) {
    assertThat(operation.resultWhenAnswerIsLost().promisesNothingKept()).isFalse();
  }

  @ParameterizedTest
  @EnumSource(names = {"TRANSACTION_READ", "TRANSACTION_WRITE", "READ", "ROLLBACK"})
  void should_promise_that_nothing_is_kept_when_no_commit_was_sent(Operation operation) {
    assertThat(operation.resultWhenAnswerIsLost().promisesNothingKept()).isTrue();
  }

  @Test
  void should_promise_nothing_for_what_ran_and_failed() {
    assertThat(ResultCode.FAILED.promisesNothingKept()).isFalse();
    assertThat(ResultCode.TIMEOUT.promisesNothingKept()).isFalse();
    assertThat(ResultCode.IN_DOUBT.promisesNothingKept()).isFalse();
  }
}
