package org.toucanmast.runtime.gateway;

import org.toucanmast.core.failover.TransactionScope;
import org.toucanmast.core.membership.VmRun;

/** A transaction that is open on a connection to an endpoint. */
final class OpenTransaction {
  private final long handle;
  private final VmRun origin;
  private final EndpointPool pool;
  private final EndpointConnection connection;
  private TransactionScope scope;
  private long idleSince;
  private boolean running;

  OpenTransaction(
      long handle,
      VmRun origin,
      EndpointPool pool,
      EndpointConnection connection,
      TransactionScope scope,
      long now) {
    this.handle = handle;
    this.origin = origin;
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

  void setRunning(boolean newRunning, long now) {
    running = newRunning;
    idleSince = now;
  }

  boolean isRunning() {
    return running;
  }

  long idleSince() {
    return idleSince;
  }
}
