package org.toucanmast.runtime.session;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.stop.StopPhase;
import org.toucanmast.core.stop.StopSchedule;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;

/**
 * The planned stop of a VM: ends its sessions in the phases of a {@link StopSchedule}, and lets the
 * VM leave when everything is answered.
 */
final class PlannedStop {
  private static final long CHECK_INTERVAL_IN_MILLISECONDS = 25;

  /** Lets the event loop read its connections once. */
  private static final long READING_TIME_IN_MILLISECONDS = 1;

  private final Vertx vertx;
  private final VmClock clock;
  private final EventLog log;
  private final SessionContext sessions;
  private final Set<CallerSession> openSessions;
  private final GroupGateways gateways;
  private final StopSchedule schedule;
  private StopPhase phase = StopPhase.ANNOUNCED;

  /**
   * Creates a stop.
   *
   * @param openSessions the sessions whose connections are not closed
   */
  PlannedStop(
      Vertx vertx,
      VmClock clock,
      EventLog log,
      SessionContext sessions,
      Set<CallerSession> openSessions,
      GroupGateways gateways,
      StopSchedule schedule) {
    this.vertx = vertx;
    this.clock = clock;
    this.log = log;
    this.sessions = sessions;
    this.openSessions = openSessions;
    this.gateways = gateways;
    this.schedule = schedule;
  }

  /**
   * Begins the stop.
   *
   * @param onAnswered called when all sessions and gateways have ended, or the time for it is over
   */
  void begin(Runnable onAnswered) {
    sessions.beginStop(schedule);
    logState("stopping");
    vertx.setPeriodic(
        CHECK_INTERVAL_IN_MILLISECONDS,
        timer -> {
          long now = clock.now();
          enter(schedule.phaseAt(now));
          boolean timeIsOver = now >= schedule.exitAt();
          if (timeIsOver) {
            endSessions();
          }
          if (timeIsOver || isDone()) {
            vertx.cancelTimer(timer);
            logState("stopped");
            onAnswered.run();
          }
        });
  }

  private void enter(StopPhase newPhase) {
    if (newPhase == phase) {
      return;
    }
    phase = newPhase;
    logState("stop phase");
    if (!phase.sendsAcceptedWork()) {
      gateways.refuseStatements();
    }
    // What has arrived is read first: closing a connection with unread input resets it.
    vertx.setTimer(READING_TIME_IN_MILLISECONDS, fired -> endSessions());
  }

  private void endSessions() {
    if (phase == StopPhase.ANSWERING) {
      openSessions.forEach(this::logUnanswered);
      // The gateways know more of what has run than the sessions do.
      gateways.close();
      forEachSession(CallerSession::answerAndClose);
    } else {
      forEachSession(CallerSession::handlePending);
    }
  }

  /** Runs an action for each session, also if it fails for some of them. */
  private void forEachSession(Consumer<CallerSession> action) {
    for (CallerSession session : List.copyOf(openSessions)) {
      try {
        action.accept(session);
      } catch (RuntimeException e) {
        log.log(EventKind.ERROR, "session not ended at the stop", "error", e);
      }
    }
  }

  /** Connections on which no session was opened have nothing to be answered. */
  private boolean isDone() {
    return phase.closesIdleSessions()
        && openSessions.stream().noneMatch(CallerSession::isOpened)
        && gateways.isIdle();
  }

  private void logState(String event) {
    log.log(
        EventKind.PROCESS,
        event,
        "phase",
        phase,
        "after",
        clock.now() - schedule.beganAt(),
        "sessions",
        openSessions.size(),
        "in_transaction",
        openSessions.stream().filter(CallerSession::isInTransaction).count(),
        "unanswered",
        openSessions.stream().filter(session -> session.running().isPresent()).count(),
        "gateways_idle",
        gateways.isIdle());
  }

  private void logUnanswered(CallerSession session) {
    if (session.running().isEmpty()) {
      return;
    }
    RunningStatement running = session.running().get();
    Optional<StatementRequest> request = running.request();
    log.log(
        EventKind.REQUEST_FAILED,
        "unanswered at the stop",
        "request",
        running.requestId(),
        "operation",
        request.map(sent -> sent.operation().name()).orElse("awaits its allowance"),
        "group",
        request.map(StatementRequest::group).orElse("none"),
        "milliseconds",
        clock.now() - running.since(),
        "after",
        clock.now() - schedule.beganAt());
  }
}
