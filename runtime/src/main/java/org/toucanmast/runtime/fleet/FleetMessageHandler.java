package org.toucanmast.runtime.fleet;

import java.util.Optional;
import java.util.function.Consumer;
import org.toucanmast.core.membership.VmRun;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.MirrorPull;
import org.toucanmast.schema.MirrorPush;
import org.toucanmast.schema.TokenAsk;
import org.toucanmast.schema.TokenGrant;
import org.toucanmast.schema.TokenReturn;

/** Handles the messages that arrive over links; all calls are made on the event loop. */
public interface FleetMessageHandler {
  /**
   * Runs a statement at this VM's gateway of the statement's group.
   *
   * @param origin the run of a VM that sent the statement
   * @param consumer called with the result
   */
  void execute(StatementRequest request, VmRun origin, Consumer<StatementResult> consumer);

  /**
   * Called when the last incoming link of a VM's run is closed; rolls back the transactions of this
   * run.
   */
  void onOriginLost(VmRun origin);

  /** Returns the heartbeat to send to a VM. */
  FleetPulse heartbeatFor(String vm);

  /** Handles the heartbeat of a VM. */
  void onHeartbeat(String vm, FleetPulse heartbeat);

  /** Answers a peer's request for tokens of customers whose allowances this VM holds. */
  TokenGrant onTokenRequest(TokenAsk request);

  /** Takes back tokens that a peer did not use. */
  void onTokenReturn(TokenReturn unused);

  /** Handles an allowance holder's answer to a token request. */
  void onTokenGrant(String holder, TokenGrant grant);

  /** Returns what a peer lacks of this VM's mirror of one kind of the store's objects. */
  MirrorPush mirrorContent(MirrorPull request);

  /** Handles what a peer sends of its mirror of one kind of the store's objects. */
  void onMirrorContent(String vm, MirrorPush content);

  /** Returns the handler of the messages about usage; empty if this VM reports no usage. */
  default Optional<UsageMessageHandler> usage() {
    return Optional.empty();
  }

  /** Called when a VM became reachable or unreachable. */
  void onReachabilityChanged();
}
