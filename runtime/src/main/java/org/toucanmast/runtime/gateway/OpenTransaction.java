package org.toucanmast.runtime.gateway;

/** A transaction that is open on a connection to an endpoint. */
final class OpenTransaction {
  private final long handle;
  private final String caller;
  private final EndpointPool pool;
  private final EndpointConnection connection;
  private long idleSince;
  private boolean running;

  OpenTransaction(
      long handle, String caller, EndpointPool pool, EndpointConnection connection, long now) {
    this.handle = handle;
    this.caller = caller;
    this.pool = pool;
    this.connection = connection;
    this.idleSince = now;
  }

  long handle() {
    return handle;
  }

  String caller() {
    return caller;
  }

  EndpointPool pool() {
    return pool;
  }

  EndpointConnection connection() {
    return connection;
  }

  void setRunning(boolean nowRunning, long now) {
    running = nowRunning;
    idleSince = now;
  }

  boolean isRunning() {
    return running;
  }

  long idleSince() {
    return idleSince;
  }
}
