package org.toucanmast.runtime.gateway;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Closes connections on which the gateway's own commands get no reply, as after a connection has
 * gone silent: they would count towards the limit of their endpoint for good. Attempts at
 * statements have their own timeouts.
 */
final class SilentConnections {
  /** Time for a reply to a command that needs no slot of the endpoint, or only a short one. */
  private static final long UNANSWERED_COMMAND_TIMEOUT_IN_MILLISECONDS = 3_000;

  private final GatewayContext context;
  private final Collection<EndpointPool> pools;
  private final Collection<StatementAttempt> runningAttempts;

  SilentConnections(
      GatewayContext context,
      Collection<EndpointPool> pools,
      Collection<StatementAttempt> runningAttempts) {
    this.context = context;
    this.pools = pools;
    this.runningAttempts = runningAttempts;
  }

  /** Closes those that have been silent for too long; must be called periodically. */
  void close(long now) {
    if (!context.localHealth().mayJudge(now)) {
      return;
    }
    long timeout = context.localHealth().extended(UNANSWERED_COMMAND_TIMEOUT_IN_MILLISECONDS, now);
    Set<EndpointConnection> withStatements = new HashSet<>();
    runningAttempts.forEach(attempt -> withStatements.add(attempt.connection()));
    for (EndpointPool pool : pools) {
      pool.connectionsAwaitingReplySince(now - timeout).stream()
          .filter(connection -> !withStatements.contains(connection))
          .forEach(EndpointConnection::close);
    }
  }
}
