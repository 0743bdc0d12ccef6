package org.toucanmast.runtime.session;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.catalog.Customer;
import org.toucanmast.core.catalog.Route;
import org.toucanmast.core.session.SessionVariables;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.Statement;
import org.toucanmast.core.stop.StopPhase;

/** What a session may use: the database and the key that it was opened with. */
final class SessionAccess {
  /**
   * Why an operation or a session is refused.
   *
   * @param code the code for the caller
   * @param reason the reason in words
   */
  record Refusal(ResultCode code, String reason) {}

  private static final Refusal UNKNOWN_KEY = new Refusal(ResultCode.NO_CUSTOMER, "unknown key");
  private static final Refusal WITHDRAWN_KEY =
      new Refusal(ResultCode.NO_CUSTOMER, "the key was withdrawn");
  private static final Refusal MOVED_KEY =
      new Refusal(ResultCode.ABORTED, KeyClaim.NOT_HELD + "; the transaction is rolled back");

  private final SessionContext context;
  private final String database;
  private final String key;
  private final KeyFingerprint fingerprint;

  SessionAccess(SessionContext context, String database, String key) {
    this.context = context;
    this.database = database;
    this.key = key;
    this.fingerprint = KeyFingerprint.of(key);
  }

  /** Returns why the session is not opened, whose key would be kept; empty if it is opened. */
  Optional<Refusal> refusalToOpen(SessionVariables variables) {
    if (context.stopPhase().closesIdleSessions()) {
      return Optional.of(new Refusal(ResultCode.BUSY, StopPhase.REASON));
    }
    Optional<Refusal> refusal = refusal();
    if (refusal.isEmpty() && !variables.keepKey(key)) {
      return Optional.of(new Refusal(ResultCode.BUSY, SessionVariables.reason(ResultCode.BUSY)));
    }
    return refusal;
  }

  /** Returns why the key may not use the database now; empty if it may. */
  private Optional<Refusal> refusal() {
    Optional<Route> route = route();
    if (route.isEmpty()) {
      return Optional.of(new Refusal(ResultCode.NO_DATABASE, "no such database"));
    }
    return claim(route.get()).isEmpty() ? Optional.of(UNKNOWN_KEY) : Optional.empty();
  }

  /** Returns the claim of the customer that holds the key now; empty if none may use the route. */
  private Optional<KeyClaim<KeyFingerprint>> claim(Route route) {
    return KeyClaim.of(fingerprint, route.anonymousAllowed(), context.catalog());
  }

  /** Returns the name under which the caller knows the database. */
  String database() {
    return database;
  }

  /** Returns the route in force; empty if it was removed. */
  Optional<Route> route() {
    return context.catalog().route(database);
  }

  /**
   * Returns why the next statement of a transaction is refused; empty if the customer for whom the
   * transaction runs still holds the key. A caller that may use the database now is promised that
   * nothing is kept, so that it can repeat the transaction as whoever it is now.
   */
  Optional<Refusal> refusalOf(SessionTransaction transaction) {
    return switch (transaction.claim().statusIn(context.catalog())) {
      case HELD -> Optional.empty();
      case MOVED -> Optional.of(MOVED_KEY);
      case WITHDRAWN -> Optional.of(refusal().isEmpty() ? MOVED_KEY : WITHDRAWN_KEY);
    };
  }

  /**
   * Applies a statement that changes the values or prepared statements of the session, unless its
   * key was withdrawn.
   *
   * @param inTransaction whether a transaction is open, whose next statement tells of the key
   * @return why it was not applied; empty if it was
   */
  Optional<Refusal> apply(Statement statement, SessionVariables variables, boolean inTransaction) {
    if (statement instanceof Statement.Invalid invalid) {
      return Optional.of(new Refusal(invalid.code(), invalid.reason()));
    }
    boolean adds = !(statement instanceof Statement.Deallocate);
    if (adds && !inTransaction && route().filter(route -> claim(route).isEmpty()).isPresent()) {
      return Optional.of(WITHDRAWN_KEY);
    }
    ResultCode code = variables.apply(statement);
    return code == ResultCode.SUCCESS
        ? Optional.empty()
        : Optional.of(new Refusal(code, SessionVariables.reason(code)));
  }

  /**
   * Admits an operation if the key may use the route and the customer's allowance has a token left.
   * If the key has moved while a token was awaited, the operation is admitted for the customer that
   * holds the key now.
   *
   * <p>Calls exactly one of the two callbacks, possibly before this method returns.
   */
  void admit(BiConsumer<Route, KeyClaim<KeyFingerprint>> onAdmitted, Consumer<Refusal> onRefused) {
    Optional<Refusal> refusal = refusal();
    if (refusal.isPresent()) {
      onRefused.accept(refusal.get());
      return;
    }
    Route route = route().orElseThrow();
    KeyClaim<KeyFingerprint> claim = claim(route).orElseThrow();
    Optional<Customer> customer = context.catalog().customer(fingerprint);
    if (customer.isEmpty()) {
      onAdmitted.accept(route, claim);
      return;
    }
    context
        .allowances()
        .admit(
            customer.get(),
            () -> onToken(claim, onAdmitted, onRefused),
            reason -> onNoToken(customer.get(), claim, reason, onAdmitted, onRefused));
  }

  private void onToken(
      KeyClaim<KeyFingerprint> claim,
      BiConsumer<Route, KeyClaim<KeyFingerprint>> onAdmitted,
      Consumer<Refusal> onRefused) {
    Optional<Route> route = route();
    if (route.isPresent() && claim.isHeldIn(context.catalog())) {
      onAdmitted.accept(route.get(), claim(route.get()).orElseThrow());
    } else {
      context.allowances().returnToken(claim.customer());
      admit(onAdmitted, onRefused);
    }
  }

  private void onNoToken(
      Customer customer,
      KeyClaim<KeyFingerprint> claim,
      SessionAllowances.Refusal reason,
      BiConsumer<Route, KeyClaim<KeyFingerprint>> onAdmitted,
      Consumer<Refusal> onRefused) {
    if (claim.isHeldIn(context.catalog())) {
      onRefused.accept(allowanceRefusal(customer, reason));
    } else {
      admit(onAdmitted, onRefused);
    }
  }

  private static Refusal allowanceRefusal(Customer customer, SessionAllowances.Refusal reason) {
    return new Refusal(
        ResultCode.BUSY,
        "the allowance of customer "
            + customer.name()
            + " "
            + reason.text()
            + ": "
            + customer.allowance());
  }
}
