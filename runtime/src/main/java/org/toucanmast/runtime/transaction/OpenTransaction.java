package org.toucanmast.runtime.transaction;

import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
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

  /** Returns whether a caller may know of the transaction: by its customer or by its key. */
  boolean isKnownTo(Principal caller) {
    return principal.name().equals(caller.name()) || principal.keyHash().equals(caller.keyHash());
  }

  /**
   * Checks that the transaction runs for the customer of a caller.
   *
   * @throws RefusedException if the caller's key has moved to another customer since it began
   */
  void checkHolder(Principal caller) throws RefusedException {
    if (!principal.name().equals(caller.name())) {
      throw new RefusedException(Refusal.KEY_MOVED);
    }
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
