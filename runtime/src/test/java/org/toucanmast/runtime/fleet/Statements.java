package org.toucanmast.runtime.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.core.statement.StatementRequest;

/** Statements as a session sends them to a gateway. */
final class Statements {
  private static final KeyClaim<KeyFingerprint> CLAIM =
      new KeyClaim<>(KeyFingerprint.of("key"), "customer", false, 1);

  private Statements() {}

  /** Returns a statement outside a transaction, or the first one of a transaction. */
  static StatementRequest request(Operation operation, String text) {
    return request(operation, text, StatementRequest.NO_TRANSACTION);
  }

  /** Returns a statement of a transaction that is open at a gateway. */
  static StatementRequest request(Operation operation, String text, long transaction) {
    return new StatementRequest(
        "request",
        "group",
        CLAIM,
        operation,
        text,
        Optional.empty(),
        Map.of(),
        RouteKind.PRIMARY,
        0,
        Position.NONE,
        transaction,
        false,
        1,
        1_000,
        OptionalLong.empty(),
        false);
  }
}
