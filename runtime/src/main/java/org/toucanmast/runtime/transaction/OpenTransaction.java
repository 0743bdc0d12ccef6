package org.toucanmast.runtime.transaction;

import org.toucanmast.core.routing.Destination;
import org.toucanmast.runtime.endpoint.EndpointConnection;
import org.toucanmast.runtime.group.DatabaseGroup;
import org.toucanmast.runtime.request.Principal;

/** An open transaction and the endpoint connection that is reserved for it. */
final class OpenTransaction {
  private final TransactionHandle handle;
  private final Principal principal;
  private final DatabaseGroup group;
  private final Destination destination;
  private final EndpointConnection connection;
  private long lastUsedAt;
  private boolean stepRunning;

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
    this.lastUsedAt = now;
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

  boolean isStepRunning() {
    return stepRunning;
  }

  void startStep(long now) {
    stepRunning = true;
    lastUsedAt = now;
  }

  void finishStep(long now) {
    stepRunning = false;
    lastUsedAt = now;
  }

  boolean isIdleFor(long timeoutInNanoseconds, long now) {
    return !stepRunning && now - lastUsedAt > timeoutInNanoseconds;
  }
}
