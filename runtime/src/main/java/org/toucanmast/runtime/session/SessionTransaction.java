package org.toucanmast.runtime.session;

import java.util.Optional;
import org.toucanmast.core.catalog.Customer;
import org.toucanmast.core.catalog.Route;
import org.toucanmast.core.statement.StatementRequest;

/**
 * The transaction of a session.
 *
 * @param route the route in force when it began; changes hold from the next one on
 * @param customer who it runs for
 * @param readOnly whether it only reads
 * @param place where it is open
 * @param handle the gateway's handle; none until the first statement ran
 * @param hasFailed whether it must be ended
 */
record SessionTransaction(
    Route route,
    Customer customer,
    boolean readOnly,
    StatementSender.Place place,
    long handle,
    boolean hasFailed) {

  SessionTransaction(Route route, Customer customer, boolean readOnly) {
    this(
        route,
        customer,
        readOnly,
        new StatementSender.Place(Optional.empty()),
        StatementRequest.NO_TRANSACTION,
        false);
  }

  boolean isOpenAtGateway() {
    return handle != StatementRequest.NO_TRANSACTION;
  }

  SessionTransaction openAt(StatementSender.Place newPlace, long newHandle) {
    return new SessionTransaction(route, customer, readOnly, newPlace, newHandle, false);
  }

  SessionTransaction failed() {
    return new SessionTransaction(
        route, customer, readOnly, place, StatementRequest.NO_TRANSACTION, true);
  }
}
