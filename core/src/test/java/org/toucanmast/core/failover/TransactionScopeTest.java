package org.toucanmast.core.failover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.toucanmast.core.statement.Operation;

class TransactionScopeTest {
  /** A former primary answers this COMMIT; its old log was taken for that of the primary. */
  @Test
  void should_not_take_the_commit_of_a_transaction_that_wrote_nothing_for_a_proof() {
    TransactionScope scope = TransactionScope.begun(false).after(Operation.TRANSACTION_READ);

    assertThat(scope.provesPrimary(Operation.COMMIT)).isFalse();
  }

  @Test
  void should_take_the_commit_of_a_transaction_that_wrote_for_a_proof() {
    TransactionScope scope =
        TransactionScope.begun(false)
            .after(Operation.TRANSACTION_WRITE)
            .after(Operation.TRANSACTION_READ);

    assertThat(scope.provesPrimary(Operation.COMMIT)).isTrue();
  }

  @Test
  void should_take_statements_of_plain_transactions_for_proofs() {
    TransactionScope scope = TransactionScope.begun(false);

    assertThat(scope.provesPrimary(Operation.READ)).isTrue();
    assertThat(scope.provesPrimary(Operation.TRANSACTION_READ)).isTrue();
    assertThat(scope.provesPrimary(Operation.TRANSACTION_WRITE)).isTrue();
  }

  /** Replicas accept read-only transactions, whatever the route says by the next statement. */
  @Test
  void should_take_nothing_in_a_read_only_transaction_for_a_proof() {
    TransactionScope scope = TransactionScope.begun(true).after(Operation.TRANSACTION_READ);

    assertThat(scope.provesPrimary(Operation.TRANSACTION_READ)).isFalse();
    assertThat(scope.provesPrimary(Operation.COMMIT)).isFalse();
  }

  @Test
  void should_take_only_writes_outside_of_transactions_for_proofs() {
    assertThat(TransactionScope.NONE.provesPrimary(Operation.WRITE)).isTrue();
    assertThat(TransactionScope.NONE.provesPrimary(Operation.READ)).isFalse();
  }
}
