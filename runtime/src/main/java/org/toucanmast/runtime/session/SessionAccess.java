package org.toucanmast.runtime.session;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.catalog.Customer;
import org.toucanmast.core.catalog.Route;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.session.SessionVariables;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.stop.StopPhase;
import org.toucanmast.runtime.port.CallerMessage;

/** What a session may use: the database and the key that it was opened with. */
final class SessionAccess {
  /** Stands for callers without a known key on open routes; endpoints are told its name. */
  private static final Customer ANONYMOUS = new Customer("-", new Allowance(1e9, 1e9));

  /**
   * Why an operation or a session is refused.
   *
   * @param code the code for the caller
   * @param reason the reason in words
   */
  record Refusal(ResultCode code, String reason) {}

  private final SessionContext context;
  private final String database;
  private final String key;

  SessionAccess(SessionContext context, String database, String key) {
    this.context = context;
    this.database = database;
    this.key = key;
  }

  /** Returns why a session is not opened, whose key would be kept; empty if it is opened. */
  static Optional<Refusal> refusalOf(
      SessionContext context, CallerMessage.Open open, SessionVariables variables) {
    if (context.stopPhase().closesIdleSessions()) {
      return Optional.of(new Refusal(ResultCode.BUSY, StopPhase.REASON));
    }
    Optional<Refusal> refusal = refusalOf(context.catalog(), open.database(), open.key());
    if (refusal.isEmpty() && !variables.keepKey(open.key())) {
      return Optional.of(new Refusal(ResultCode.BUSY, SessionVariables.reason(ResultCode.BUSY)));
    }
    return refusal;
  }

  /** Returns why a key may not use a database; empty if it may. */
  private static Optional<Refusal> refusalOf(Catalog catalog, String database, String key) {
    Optional<Route> route = catalog.route(database);
    if (route.isEmpty()) {
      return Optional.of(new Refusal(ResultCode.NO_DATABASE, "no such database"));
    }
    if (!route.get().anonymousAllowed() && catalog.customer(key).isEmpty()) {
      return Optional.of(new Refusal(ResultCode.NO_CUSTOMER, "unknown key"));
    }
    return Optional.empty();
  }

  /** Returns the name under which the caller knows the database. */
  String database() {
    return database;
  }

  /** Returns the route in force; empty if it was removed. */
  Optional<Route> route() {
    return context.catalog().route(database);
  }

  /** Returns whether the key may use a route that was in force when a transaction began. */
  boolean isAuthorized(Route route) {
    return route.anonymousAllowed() || context.catalog().customer(key).isPresent();
  }

  /** Returns the customer of a request, without its allowance. */
  static Customer customerOf(StatementRequest request) {
    return new Customer(request.customer(), ANONYMOUS.allowance());
  }

  /**
   * Admits an operation if the key may use the route and the customer's allowance has a token left.
   *
   * <p>Calls exactly one of the two callbacks, possibly before this method returns.
   */
  void admit(BiConsumer<Route, Customer> onAdmitted, Consumer<Refusal> onRefused) {
    Optional<Refusal> refusal = refusalOf(context.catalog(), database, key);
    if (refusal.isPresent()) {
      onRefused.accept(refusal.get());
      return;
    }
    Route route = route().orElseThrow();
    Optional<Customer> known = context.catalog().customer(key);
    if (known.isEmpty()) {
      onAdmitted.accept(route, ANONYMOUS);
      return;
    }
    Customer customer = known.get();
    context
        .allowances()
        .admit(
            customer,
            () -> onAdmitted.accept(route, customer),
            reason -> onRefused.accept(allowanceRefusal(customer, reason)));
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
