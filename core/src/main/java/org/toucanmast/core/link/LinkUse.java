package org.toucanmast.core.link;

/** Why a link to a peer is kept open, with the interval of its heartbeats. */
public enum LinkUse {
  /** The peer holds allowances to which this VM lends its share; each heartbeat renews the loan. */
  LENDING(200),
  /** This VM monitors the peer. */
  MONITORING(400),
  /** Statements were sent to the peer recently. */
  STATEMENTS(500),
  /** The peer holds the duty of usage reports; this VM sends it totals. */
  USAGE(1_000);

  private final long heartbeatIntervalInMilliseconds;

  LinkUse(long heartbeatIntervalInMilliseconds) {
    this.heartbeatIntervalInMilliseconds = heartbeatIntervalInMilliseconds;
  }

  /** Returns the longest time between two heartbeats, in milliseconds. */
  public long heartbeatIntervalInMilliseconds() {
    return heartbeatIntervalInMilliseconds;
  }
}
