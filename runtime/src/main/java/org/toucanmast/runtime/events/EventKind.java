package org.toucanmast.runtime.events;

/** The kinds of log lines, each with the most lines that are written in a second. */
public enum EventKind {
  /** The process starts, stops or reads its settings again. */
  PROCESS(50),
  /** A dependency was lost or is back. */
  DEPENDENCY(50),
  /** A configuration is in force. */
  CONFIGURATION(50),
  /** An endpoint's entry changed. */
  ENDPOINT(50),
  /** A VM joined, left or became reachable or unreachable. */
  MEMBERSHIP(50),
  /** The belief about a group's primary changed. */
  LEADER(50),
  /** A promotion was considered, ordered or answered. */
  PROMOTION(50),
  /** A customer's allowance was filled. */
  ALLOWANCE(50),
  /** Clocks disagree. */
  CLOCK(10),
  /** A request was refused or failed. */
  REQUEST_FAILED(100),
  /** A request failed or was slow at its group's gateway, with what the gateway knew. */
  REQUEST_AT_GATEWAY(100),
  /** A request succeeded and took long. */
  REQUEST_SLOW(50),
  /** A request was sent again or to another endpoint. */
  REQUEST_MOVED(50),
  /** A request succeeded; a sample. */
  REQUEST_SERVED(2),
  /** A peer broke its protocol. */
  PROTOCOL(20),
  /** An unexpected error. */
  ERROR(50);

  private final int linesPerSecond;

  EventKind(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /** Returns the most lines of this kind in a second. */
  public int linesPerSecond() {
    return linesPerSecond;
  }
}
