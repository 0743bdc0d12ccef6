package org.toucanmast.runtime.gateway;

import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.failover.TransactionScope;
import org.toucanmast.core.membership.VmRun;

/** A transaction that is open on a connection to an endpoint. */
final class OpenTransaction {
  private final long handle;
  private final VmRun origin;
  private final EndpointPool pool;
  private final EndpointConnection connection;
  private TransactionScope scope;
  private KeyClaim<KeyFingerprint> claim;
  private long idleSince;
  private boolean running;

  /**
   * Creates a transaction of which no statement is running.
   *
   * @param claim the customer for whom the transaction was begun
   */
  OpenTransaction(
      long handle,
      VmRun origin,
      KeyClaim<KeyFingerprint> claim,
      EndpointPool pool,
      EndpointConnection connection,
      TransactionScope scope,
      long now) {
    this.handle = handle;
    this.origin = origin;
    this.claim = claim;
    this.pool = pool;
    this.connection = connection;
    this.scope = scope;
    this.idleSince = now;
  }

  long handle() {
    return handle;
  }

  VmRun origin() {
    return origin;
  }

  EndpointPool pool() {
    return pool;
  }

  EndpointConnection connection() {
    return connection;
  }

  /** Returns what a successful reply to the next statement proves of the endpoint. */
  TransactionScope scope() {
    return scope;
  }

  void setScope(TransactionScope newScope) {
    scope = newScope;
  }

  /** Returns the customer for whom the transaction runs, as of its last statement. */
  KeyClaim<KeyFingerprint> claim() {
    return claim;
  }

  /** Records that a statement of the transaction runs or waits. */
  void continueWith(KeyClaim<KeyFingerprint> newClaim, long now) {
    claim = newClaim;
    running = true;
    idleSince = now;
  }

  /** Records that the statement has ended. */
  void setIdle(long now) {
    running = false;
    idleSince = now;
  }

  boolean isRunning() {
    return running;
  }

  long idleSince() {
    return idleSince;
  }
}
