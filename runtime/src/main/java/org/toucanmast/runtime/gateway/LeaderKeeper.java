package org.toucanmast.runtime.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.failover.OutageEstimate;
import org.toucanmast.core.failover.PrimaryTracker;
import org.toucanmast.core.failover.Succession;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.port.DialectException;
import org.toucanmast.runtime.port.EndpointStatus;
import org.toucanmast.runtime.port.PromotionOrders;

/**
 * Follows which endpoint of a group leads, keeps its position known, and replaces it.
 *
 * <p>Beginning a transaction takes no slot, and only an endpoint that leads accepts it: that is the
 * question by which this asks.
 */
final class LeaderKeeper {
  /** The primary's position is asked for when it is older than this; well below any staleness. */
  private static final long OBSERVE_AFTER_IN_MILLISECONDS = 300;

  /** A statement that waits this long at the primary makes this ask whether it still answers. */
  private static final long DOUBT_AFTER_IN_MILLISECONDS = 200;

  /** A question without an answer for this long counts as silence: many round trips. */
  private static final long SILENCE_IN_MILLISECONDS = 250;

  /** Reads wait this long for the primary's position: a handshake and some round trips. */
  private static final long OBSERVATION_WAIT_IN_MILLISECONDS = 250;

  /** Endpoints are asked this often while none is known to lead. */
  private static final long SEARCH_INTERVAL_IN_MILLISECONDS = 50;

  /** A group is promoted when no endpoint was found to lead for this long. */
  private static final long LEADERLESS_IN_MILLISECONDS = 500;

  /** How long endpoints are asked for their positions before one is chosen. */
  private static final long CANVASS_IN_MILLISECONDS = 150;

  /** How long the first of them may take to answer: a handshake on a VM that has just started. */
  private static final long LONGEST_CANVASS_IN_MILLISECONDS = 600;

  /** An order that shows no effect for this long is given again. */
  private static final long ORDER_EFFECT_IN_MILLISECONDS = 2_500;

  /** Pause after an order that could not be given, in milliseconds. */
  private static final long ORDER_PAUSE_IN_MILLISECONDS = 200;

  /** First guess of the time from an order to the new primary's first answer. */
  private static final double FIRST_CHANGE_IN_MILLISECONDS = 600;

  /** Weight of the newest change of primary in the estimate; changes are rare and alike. */
  private static final double CHANGE_GAIN = 0.5;

  private final GatewayContext context;
  private final String group;
  private final Map<String, EndpointPool> pools;
  private final PositionHistory history;
  private final Runnable onLeader;
  private final PrimaryTracker belief = new PrimaryTracker();
  private final Map<String, Long> asked = new HashMap<>();
  private final Set<String> unanswered = new HashSet<>();
  private final List<Succession.Candidate> candidates = new ArrayList<>();
  private Optional<String> lastLeader = Optional.empty();
  private long leaderlessSince = Long.MAX_VALUE;
  private long outageSince = Long.MAX_VALUE;
  private long canvassSince = Long.MAX_VALUE;
  private long quietUntil = Long.MIN_VALUE;
  private long orderedAt = Long.MAX_VALUE;
  private double changeTime = FIRST_CHANGE_IN_MILLISECONDS;

  LeaderKeeper(
      GatewayContext context,
      String group,
      Map<String, EndpointPool> pools,
      PositionHistory history,
      Runnable onLeader) {
    this.context = context;
    this.group = group;
    this.pools = pools;
    this.history = history;
    this.onLeader = onLeader;
  }

  void onEntry(EndpointEntry entry) {
    belief.onEntry(entry);
    noteLeader();
  }

  void onGone(String endpointId) {
    belief.onEndpointRemoved(endpointId);
    asked.remove(endpointId);
    unanswered.remove(endpointId);
    noteLeader();
  }

  /** Returns the pool of the endpoint that leads. */
  Optional<EndpointPool> leader() {
    return belief.primary().map(pools::get);
  }

  boolean leads(String endpointId) {
    return belief.primary().filter(endpointId::equals).isPresent();
  }

  /**
   * Returns how long statements for the primary must wait for one, in milliseconds; 0 when one is
   * there.
   */
  double expectedOutage(long now) {
    noteOutage(now);
    return outageSince == Long.MAX_VALUE
        ? 0
        : OutageEstimate.remaining(now - outageSince, changeTime);
  }

  /** Returns for how long no primary could be used, in milliseconds; 0 when one can. */
  long withoutLeaderFor(long now) {
    noteOutage(now);
    return outageSince == Long.MAX_VALUE ? 0 : now - outageSince;
  }

  private void noteOutage(long now) {
    boolean reachable =
        leader().filter(pool -> pool.isReachable(now) && pool.mayLead(now)).isPresent();
    outageSince = reachable ? Long.MAX_VALUE : Math.min(outageSince, now);
  }

  /**
   * Takes what a reply says about the endpoint.
   *
   * @param askedAt when the command was sent, on the steady clock
   * @param provesLead whether only an endpoint that leads answers like this
   */
  void onReply(EndpointPool pool, EndpointReply reply, long askedAt, boolean provesLead) {
    String id = pool.entry().id();
    if (provesLead) {
      belief.onPrimaryConfirmed(id, reply.position().term());
      history.observe(askedAt, reply.position());
    } else if (reply.code() == ResultCode.READ_ONLY) {
      belief.onPrimaryRefuted(id);
    }
    if (!reply.position().equals(Position.NONE)) {
      pool.lag().observe(reply.position(), history, context.clock().now());
    }
    noteLeader();
  }

  private void noteLeader() {
    Optional<String> leader = belief.primary();
    if (leader.equals(lastLeader)) {
      return;
    }
    long now = context.clock().now();
    lastLeader = leader;
    pools.forEach((id, pool) -> pool.setLeads(leader.filter(id::equals).isPresent()));
    leaderlessSince = leader.isPresent() ? Long.MAX_VALUE : now;
    if (leader.isPresent() && orderedAt != Long.MAX_VALUE) {
      changeTime += CHANGE_GAIN * (now - orderedAt - changeTime);
      orderedAt = Long.MAX_VALUE;
      quietUntil = now;
    }
    context.log().log(
        EventKind.LEADER,
        "leader",
        "group",
        group,
        "endpoint",
        leader.orElse("none"),
        "term",
        belief.provenTerm());
    context.vertx().runOnContext(later -> onLeader.run());
  }

  /**
   * Asks what must be asked, and replaces a primary that is lost or leaves.
   *
   * @param active whether the group has had statements lately
   * @param waiting whether statements wait for a primary
   */
  void sweep(long now, boolean active, boolean waiting) {
    noteOutage(now);
    Optional<EndpointPool> leader = leader();
    if (leader.isPresent()) {
      if (active || waiting) {
        watch(leader.get(), now);
      }
    } else if (active || waiting) {
      search(now);
    }
    if (orderedAt != Long.MAX_VALUE && (active || waiting)) {
      search(now);
    }
    if (!context.isFirstGateway(group)) {
      return;
    }
    if (active) {
      context.promotions().prepareSoon(group, now);
    }
    if (now >= quietUntil && mustReplace(leader, now) && context.promotions().mayOrder(group)) {
      replace(leader, now);
    }
  }

  private void watch(EndpointPool leader, long now) {
    noteSilence(leader, now);
    boolean doubted =
        !leader.waitingSince(now - DOUBT_AFTER_IN_MILLISECONDS).isEmpty()
            || leader.suspicion().isSuspected(now);
    if (doubted || history.age(now) > OBSERVE_AFTER_IN_MILLISECONDS) {
      ask(leader, now);
    }
  }

  /**
   * Asks for the primary's position, when none is known that is recent enough; returns whether the
   * answer can be waited for, instead of sending reads to the primary.
   */
  boolean observeNow(long now) {
    Optional<EndpointPool> leader = leader().filter(pool -> pool.isReachable(now));
    if (leader.isEmpty()) {
      return false;
    }
    ask(leader.get(), now);
    long askedAt = asked.getOrDefault(leader.get().entry().id(), Long.MIN_VALUE);
    return askedAt != Long.MIN_VALUE && now - askedAt < OBSERVATION_WAIT_IN_MILLISECONDS;
  }

  private void noteSilence(EndpointPool pool, long now) {
    String id = pool.entry().id();
    long askedAt = asked.getOrDefault(id, Long.MAX_VALUE);
    if (unanswered.contains(id)
        && askedAt != Long.MAX_VALUE
        && now - askedAt > SILENCE_IN_MILLISECONDS) {
      pool.suspicion().silent(askedAt, now);
    }
  }

  private void search(long now) {
    for (EndpointPool pool : List.copyOf(pools.values())) {
      ask(pool, now);
    }
  }

  private void ask(EndpointPool pool, long now) {
    String id = pool.entry().id();
    long askedAt = asked.getOrDefault(id, Long.MIN_VALUE);
    boolean outstanding = unanswered.contains(id);
    boolean recent =
        askedAt != Long.MIN_VALUE
            && now - askedAt
                < (outstanding ? 2 * SILENCE_IN_MILLISECONDS : SEARCH_INTERVAL_IN_MILLISECONDS);
    if (recent) {
      return;
    }
    Optional<EndpointConnection> connection = context.anyCustomer().flatMap(pool::acquireAny);
    if (connection.isEmpty()) {
      return;
    }
    asked.put(id, now);
    unanswered.add(id);
    connection
        .get()
        .exchange(
            List.of(
                new EndpointCommand.Begin(false, Optional.empty()), new EndpointCommand.Rollback()),
            new Question(pool, connection.get(), now));
  }

  /** The question whether an endpoint leads. */
  private final class Question implements EndpointConnection.ReplyHandler {
    private final EndpointPool pool;
    private final EndpointConnection connection;
    private final long askedAt;
    private boolean begun;

    private Question(EndpointPool pool, EndpointConnection connection, long askedAt) {
      this.pool = pool;
      this.connection = connection;
      this.askedAt = askedAt;
    }

    @Override
    public void onReply(int index, EndpointReply reply) {
      if (index == 0) {
        begun = reply.isSuccess();
        unanswered.remove(pool.entry().id());
        pool.suspicion().answered();
        LeaderKeeper.this.onReply(pool, reply, askedAt, begun);
      } else {
        pool.giveBack(connection, reply.state());
        onLeader.run();
      }
    }

    @Override
    public void onLost(int index, EndpointConnection.Loss loss, boolean sent) {
      if (loss == EndpointConnection.Loss.REFUSED) {
        unanswered.remove(pool.entry().id());
      }
    }
  }

  private boolean mustReplace(Optional<EndpointPool> leader, long now) {
    if (leader.isPresent()) {
      return !leader.get().mayWork() || leader.get().suspicion().isGivenUp(now);
    }
    return leaderlessSince != Long.MAX_VALUE
        && now - leaderlessSince > LEADERLESS_IN_MILLISECONDS
        && !pools.isEmpty();
  }

  private void replace(Optional<EndpointPool> leader, long now) {
    if (canvassSince == Long.MAX_VALUE) {
      canvass(leader, now);
      return;
    }
    boolean everybody = candidates.size() >= pools.size() - (leader.isPresent() ? 1 : 0);
    long wait = candidates.isEmpty() ? LONGEST_CANVASS_IN_MILLISECONDS : CANVASS_IN_MILLISECONDS;
    if (!everybody && now - canvassSince < wait) {
      return;
    }
    canvassSince = Long.MAX_VALUE;
    Optional<String> successor = Succession.choose(candidates);
    context.log().log(
        EventKind.PROMOTION,
        "considered",
        "group",
        group,
        "leader",
        leader.map(pool -> pool.entry().id()).orElse("none"),
        "candidates",
        candidates,
        "successor",
        successor.orElse("none"));
    if (successor.isPresent()) {
      order(successor.get(), now);
    } else {
      quietUntil = now + ORDER_PAUSE_IN_MILLISECONDS;
    }
  }

  private void canvass(Optional<EndpointPool> leader, long now) {
    canvassSince = now;
    candidates.clear();
    for (EndpointPool pool : List.copyOf(pools.values())) {
      if (leader.isPresent() && leader.get() == pool) {
        continue;
      }
      context
          .anyCustomer()
          .flatMap(pool::acquireAny)
          .ifPresent(connection -> askStatus(pool, connection, now));
    }
  }

  private void askStatus(EndpointPool pool, EndpointConnection connection, long round) {
    connection.exchange(
        List.of(new EndpointCommand.Status()),
        new EndpointConnection.ReplyHandler() {
          @Override
          public void onReply(int index, EndpointReply reply) {
            pool.release(connection);
            if (canvassSince == round && reply.isSuccess()) {
              noteCandidate(pool, reply);
            }
          }

          @Override
          public void onLost(int index, EndpointConnection.Loss loss, boolean sent) {
            // An endpoint that cannot be asked is no candidate.
          }
        });
  }

  private void noteCandidate(EndpointPool pool, EndpointReply reply) {
    try {
      EndpointStatus status = context.endpointDialect().status(reply);
      candidates.add(
          new Succession.Candidate(pool.entry().id(), status.received(), pool.mayWork()));
    } catch (DialectException e) {
      context.log().log(EventKind.PROTOCOL, "unreadable status", "endpoint", pool.entry().id());
    }
  }

  private void order(String endpointId, long now) {
    orderedAt = now;
    quietUntil = now + ORDER_EFFECT_IN_MILLISECONDS;
    context
        .promotions()
        .promote(group, endpointId)
        .onSuccess(
            outcome -> {
              if (outcome != PromotionOrders.Outcome.ACCEPTED) {
                quietUntil = context.clock().now() + ORDER_PAUSE_IN_MILLISECONDS;
              }
            });
  }
}
