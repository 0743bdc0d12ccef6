package org.toucanmast.runtime.session;

import java.util.Optional;
import org.toucanmast.core.catalog.Customer;
import org.toucanmast.core.catalog.Route;
import org.toucanmast.core.statement.StatementRequest;

/**
 * The transaction of a session.
 *
 * @param route the route in force when the transaction began; later changes do not apply to it
 * @param customer the customer that the transaction runs for
 * @param readOnly whether the transaction only reads
 * @param location the location of the gateway at which the transaction is open
 * @param handle the gateway's handle, or {@link StatementRequest#NO_TRANSACTION} before the first
 *     statement and after a failure
 * @param hasFailed whether the transaction failed, so that it can only be ended
 */
record SessionTransaction(
    Route route,
    Customer customer,
    boolean readOnly,
    StatementSender.GatewayLocation location,
    long handle,
    boolean hasFailed) {

  SessionTransaction(Route route, Customer customer, boolean readOnly) {
    this(
        route,
        customer,
        readOnly,
        new StatementSender.GatewayLocation(Optional.empty()),
        StatementRequest.NO_TRANSACTION,
        false);
  }

  boolean isOpenAtGateway() {
    return handle != StatementRequest.NO_TRANSACTION;
  }

  SessionTransaction openAt(StatementSender.GatewayLocation newLocation, long newHandle) {
    return new SessionTransaction(route, customer, readOnly, newLocation, newHandle, false);
  }

  SessionTransaction failed() {
    return new SessionTransaction(
        route, customer, readOnly, location, StatementRequest.NO_TRANSACTION, true);
  }
}
