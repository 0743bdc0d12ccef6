package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.failover.Succession;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.port.DialectException;
import org.toucanmast.runtime.port.EndpointStatus;

/** Asks the endpoints of a group for their positions before one is chosen as the next primary. */
final class CandidatePoll {
  /** How long endpoints are polled for their positions before a candidate is chosen. */
  private static final long CANDIDATE_POLL_IN_MILLISECONDS = 150;

  /** How long the first reply to the poll may take: a handshake on a VM that has just started. */
  private static final long MAXIMUM_CANDIDATE_POLL_IN_MILLISECONDS = 600;

  private final GatewayContext context;
  private final Map<String, EndpointPool> pools;
  private final List<Succession.Candidate> candidates = new ArrayList<>();
  private long startedAt = Long.MAX_VALUE;

  CandidatePoll(GatewayContext context, Map<String, EndpointPool> pools) {
    this.context = context;
    this.pools = pools;
  }

  boolean isRunning() {
    return startedAt != Long.MAX_VALUE;
  }

  /** Returns the endpoints that have answered. */
  List<Succession.Candidate> candidates() {
    return candidates;
  }

  /** Returns whether the poll has lasted long enough to choose among the answers. */
  boolean isDue(long now) {
    long pollMilliseconds =
        candidates.isEmpty()
            ? MAXIMUM_CANDIDATE_POLL_IN_MILLISECONDS
            : CANDIDATE_POLL_IN_MILLISECONDS;
    return context.localHealth().mayJudge(now)
        && now - startedAt >= context.localHealth().extended(pollMilliseconds, now);
  }

  void end() {
    startedAt = Long.MAX_VALUE;
  }

  /** Asks all endpoints except the primary that is to be replaced. */
  void start(Optional<EndpointPool> primary, long now) {
    startedAt = now;
    candidates.clear();
    for (EndpointPool pool : List.copyOf(pools.values())) {
      if (primary.isPresent() && primary.get() == pool) {
        continue;
      }
      context
          .probeCustomer()
          .flatMap(pool::acquireAny)
          .ifPresent(connection -> requestStatus(pool, connection, now));
    }
  }

  private void requestStatus(EndpointPool pool, EndpointConnection connection, long pollStartedAt) {
    connection.exchange(
        List.of(new EndpointCommand.Status()),
        new EndpointConnection.ReplyHandler() {
          @Override
          public void onReply(int index, EndpointReply reply) {
            pool.release(connection);
            if (startedAt == pollStartedAt && reply.isSuccess()) {
              addCandidate(pool, reply);
            }
          }

          @Override
          public void onLost(int index, EndpointConnection.Loss loss, boolean sent) {
            // An endpoint that does not report its position is not a candidate.
          }
        });
  }

  private void addCandidate(EndpointPool pool, EndpointReply reply) {
    try {
      EndpointStatus status = context.endpointDialect().status(reply);
      candidates.add(
          new Succession.Candidate(pool.entry().id(), status.received(), pool.acceptsWork()));
    } catch (DialectException e) {
      context.log().log(
          EventKind.PROTOCOL,
          "unreadable reply to a status command",
          "endpoint",
          pool.entry().id());
    }
  }
}
