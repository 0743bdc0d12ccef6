package org.toucanmast.runtime.transaction;

import org.toucanmast.core.routing.Destination;
import org.toucanmast.runtime.endpoint.EndpointConnection;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.runtime.request.Principal;

/** A transaction that is open on a connection of its own. */
final class OpenTransaction {
  private final TransactionHandle handle;
  private final Principal principal;
  private final DatabaseGroup group;
  private final Destination destination;
  private final EndpointConnection connection;
  private long usedAt;
  private boolean busy;

  OpenTransaction(
      TransactionHandle handle,
      Principal principal,
      DatabaseGroup group,
      Destination destination,
      EndpointConnection connection,
      long now) {
    this.handle = handle;
    this.principal = principal;
    this.group = group;
    this.destination = destination;
    this.connection = connection;
    this.usedAt = now;
  }

  TransactionHandle handle() {
    return handle;
  }

  Principal principal() {
    return principal;
  }

  DatabaseGroup group() {
    return group;
  }

  Destination destination() {
    return destination;
  }

  EndpointConnection connection() {
    return connection;
  }

  boolean isBusy() {
    return busy;
  }

  void begin(long now) {
    busy = true;
    usedAt = now;
  }

  void end(long now) {
    busy = false;
    usedAt = now;
  }

  boolean isIdleFor(long timeout, long now) {
    return !busy && now - usedAt > timeout;
  }
}
