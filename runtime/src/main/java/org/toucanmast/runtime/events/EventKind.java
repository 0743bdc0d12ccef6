package org.toucanmast.runtime.events;

/** The kinds of log lines, each with the maximum number of lines per second. */
public enum EventKind {
  /** The process starts, stops or reloads its settings. */
  PROCESS(50),
  /** A dependency became unavailable or available. */
  DEPENDENCY(50),
  /** A configuration came into force or was ignored, or data centres were taken out. */
  CONFIGURATION(50),
  /** An endpoint's entry in the store or its connection state changed. */
  ENDPOINT(50),
  /** An object of the store cannot be read or used. */
  STORE_ENTRY(20),
  /** A VM joined, left or became reachable or unreachable. */
  MEMBERSHIP(50),
  /** The known primary of a group changed. */
  LEADER(50),
  /** A promotion was considered, ordered or answered. */
  PROMOTION(50),
  /** The duty of usage reports was acquired or lost, or a window recorded, reported or skipped. */
  USAGE(20),
  /** Session values or a prepared statement were applied to a connection, or refused there. */
  SESSION_STATE(20),
  /** A customer's token bucket was filled. */
  ALLOWANCE(50),
  /** The monotonic clock and the wall clock advanced by different amounts. */
  CLOCK(10),
  /** A request was refused or failed. */
  REQUEST_FAILED(100),
  /** A request failed or was slow at its group's gateway; gives the gateway's details. */
  REQUEST_AT_GATEWAY(100),
  /** A request succeeded but was slow. */
  REQUEST_SLOW(50),
  /** A request was retried or sent to another endpoint or gateway. */
  REQUEST_MOVED(50),
  /** A request succeeded; only a sample of these is logged. */
  REQUEST_SERVED(2),
  /** A caller, an endpoint or a peer violated its protocol. */
  PROTOCOL(20),
  /** An unexpected error. */
  ERROR(50);

  private final int linesPerSecond;

  EventKind(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /** Returns the maximum number of lines of this kind per second. */
  public int linesPerSecond() {
    return linesPerSecond;
  }
}
