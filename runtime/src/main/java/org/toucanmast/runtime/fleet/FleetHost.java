package org.toucanmast.runtime.fleet;

import java.util.function.Consumer;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.MirrorPush;
import org.toucanmast.schema.TokenAsk;
import org.toucanmast.schema.TokenGrant;
import org.toucanmast.schema.TokenReturn;

/** What the rest of a VM does for the links; all calls come on the VM's thread. */
public interface FleetHost {
  /** Runs a statement at this VM's gateway of its group. */
  void execute(StatementRequest request, String caller, Consumer<StatementResult> consumer);

  /** All links from a VM are gone; its transactions end. */
  void onCallerGone(String caller);

  /** Returns the pulse for a VM. */
  FleetPulse pulseFor(String vm);

  /** A VM's pulse came. */
  void onPulse(String vm, FleetPulse pulse);

  /** Answers a VM that asks for tokens of customers that this VM keeps. */
  TokenGrant onAsk(TokenAsk ask);

  /** A VM gives tokens back that it did not use. */
  void onReturn(TokenReturn unused);

  /** The keeper of customers' allowances answered. */
  void onGrant(String keeper, TokenGrant grant);

  /** Returns what this VM knows of a kind of the store's objects. */
  MirrorPush mirror(String kind);

  /** A VM told what it knows of a kind. */
  void onMirror(MirrorPush push);

  /** Which VMs can be reached has changed. */
  void onReachabilityChanged();
}
