package org.toucanmast.core.statement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class OperationTest {
  @ParameterizedTest
  @EnumSource(names = {"WRITE", "COMMIT"})
  void should_not_rule_out_an_effect_when_the_answer_to_a_write_or_commit_is_lost(
      Operation operation) {
    assertThat(operation.resultWhenAnswerIsLost().guaranteesNoEffect()).isFalse();
  }

  @ParameterizedTest
  @EnumSource(names = {"TRANSACTION_READ", "TRANSACTION_WRITE", "READ", "ROLLBACK"})
  void should_rule_out_an_effect_when_an_answer_is_lost_before_the_commit_was_sent(
      Operation operation) {
    assertThat(operation.resultWhenAnswerIsLost().guaranteesNoEffect()).isTrue();
  }

  @Test
  void should_not_rule_out_an_effect_of_statements_that_failed_or_timed_out() {
    assertThat(ResultCode.FAILED.guaranteesNoEffect()).isFalse();
    assertThat(ResultCode.TIMEOUT.guaranteesNoEffect()).isFalse();
    assertThat(ResultCode.IN_DOUBT.guaranteesNoEffect()).isFalse();
  }
}
