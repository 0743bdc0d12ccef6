package org.toucanmast.runtime.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of the peer links. */
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

  /** Counts a link that was closed because of what came over it. */
  void onRefused() {
    refused.inc();
  }

  /** Counts a message that was not sent because its link was down or full. */
  void onDropped() {
    dropped.inc();
  }
}
