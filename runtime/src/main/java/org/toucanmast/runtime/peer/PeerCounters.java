package org.toucanmast.runtime.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Metric counters of the links to and from peers. */
final class PeerCounters {
  private final Counter sent;
  private final Counter sentBytes;
  private final Counter received;
  private final Counter refused;
  private final Counter dropped;

  PeerCounters(MetricRegistry metrics) {
    this.sent = metrics.counter("peer.messages.sent");
    this.sentBytes = metrics.counter("peer.bytes.sent");
    this.received = metrics.counter("peer.messages.received");
    this.refused = metrics.counter("peer.links.refused");
    this.dropped = metrics.counter("peer.messages.dropped");
  }

  void onSent(int bytes) {
    sent.inc();
    sentBytes.inc(bytes);
  }

  void onReceived() {
    received.inc();
  }

  /**
   * Counts a link that was closed because of an invalid message or an error, and each message that
   * a peer sent on a link that this VM has opened.
   */
  void onRefused() {
    refused.inc();
  }

  /** Counts a message that was dropped because its link was down or its write buffer was full. */
  void onDropped() {
    dropped.inc();
  }
}
