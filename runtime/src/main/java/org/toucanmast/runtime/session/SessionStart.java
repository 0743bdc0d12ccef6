package org.toucanmast.runtime.session;

import io.vertx.core.Vertx;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;

/**
 * Lets sessions start once this VM knows the configuration, the endpoints and the reachable peers,
 * and one of those has told what it knows: of a store that was just restored, the peers know a
 * newer state than the store. Before that, this VM would also be every group's gateway and use up
 * the endpoints' connections.
 */
final class SessionStart {
  private static final long CHECK_INTERVAL_IN_MILLISECONDS = 10;

  /** Sessions start after this if a configuration is known; callers give up after two seconds. */
  private static final long TIMEOUT_IN_MILLISECONDS = 700;

  /** What must be known before sessions start. */
  interface Conditions {
    /** Returns whether a configuration is in force. */
    boolean isConfigurationKnown();

    /** Returns whether all objects of the store are known. */
    boolean isLoaded();

    /** Returns whether the peers that this VM monitors are known to be reachable or not. */
    boolean areNeighboursKnown();

    /** Returns whether this VM is registered and has a path to the gateway of each group. */
    boolean arePathsOpen();
  }

  private final Vertx vertx;
  private final VmClock clock;
  private final EventLog log;
  private final Conditions conditions;
  private final Runnable onSettled;
  private long startedAt;

  SessionStart(
      Vertx vertx, VmClock clock, EventLog log, Conditions conditions, Runnable onSettled) {
    this.vertx = vertx;
    this.clock = clock;
    this.log = log;
    this.conditions = conditions;
    this.onSettled = onSettled;
  }

  /** Begins to check the conditions. */
  void begin() {
    startedAt = clock.now();
    check();
  }

  private void check() {
    boolean configured = conditions.isConfigurationKnown();
    boolean loaded = configured && conditions.isLoaded();
    boolean neighboursKnown = conditions.areNeighboursKnown();
    boolean pathsOpen = loaded && neighboursKnown && conditions.arePathsOpen();
    boolean timedOut = clock.now() - startedAt > TIMEOUT_IN_MILLISECONDS;
    if (configured && (pathsOpen || timedOut)) {
      log.log(EventKind.PROCESS, "settled", "followed", loaded, "decided", neighboursKnown);
      onSettled.run();
    } else {
      vertx.setTimer(CHECK_INTERVAL_IN_MILLISECONDS, fired -> check());
    }
  }
}
