package org.toucanmast.runtime.session;

import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.CallerDialect;

/** What the sessions of a VM share. */
final class SessionContext {
  private final CallerDialect dialect;
  private final VmClock clock;
  private final EventLog log;
  private final StatementSender sender;
  private final QuotaDesk quota;
  private final SessionMetrics metrics;
  private Catalog catalog = Catalog.EMPTY;
  private boolean settled;
  private boolean stopping;

  SessionContext(
      CallerDialect dialect,
      VmClock clock,
      EventLog log,
      StatementSender sender,
      QuotaDesk quota,
      SessionMetrics metrics) {
    this.dialect = dialect;
    this.clock = clock;
    this.log = log;
    this.sender = sender;
    this.quota = quota;
    this.metrics = metrics;
  }

  CallerDialect dialect() {
    return dialect;
  }

  VmClock clock() {
    return clock;
  }

  EventLog log() {
    return log;
  }

  StatementSender sender() {
    return sender;
  }

  QuotaDesk quota() {
    return quota;
  }

  SessionMetrics metrics() {
    return metrics;
  }

  Catalog catalog() {
    return catalog;
  }

  void setCatalog(Catalog newer) {
    catalog = newer;
  }

  /** Returns whether sessions may begin. */
  boolean isSettled() {
    return settled;
  }

  void setSettled() {
    settled = true;
  }

  boolean isStopping() {
    return stopping;
  }

  void setStopping() {
    stopping = true;
  }
}
