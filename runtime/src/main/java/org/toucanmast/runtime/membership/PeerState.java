package org.toucanmast.runtime.membership;

import org.toucanmast.runtime.peer.PeerIdentity;
import org.toucanmast.schema.PeerHeartbeat;

/** What this VM knows of one peer. */
public final class PeerState {
  private PeerIdentity identity;
  private PeerHeartbeat newest = PeerHeartbeat.getDefaultInstance();
  private long heardAt;
  private boolean heard;

  PeerState(PeerIdentity identity) {
    this.identity = identity;
  }

  /** Returns who the peer is. */
  public PeerIdentity identity() {
    return identity;
  }

  /** Returns the newest heartbeat. */
  public PeerHeartbeat newest() {
    return newest;
  }

  /** Returns when the newest heartbeat came, in nanoseconds. */
  public long heardAt() {
    return heardAt;
  }

  /** Takes in that the peer runs anew. */
  void restart(PeerIdentity newIdentity) {
    identity = newIdentity;
    newest = PeerHeartbeat.getDefaultInstance();
    heard = false;
  }

  /** Takes in a heartbeat; returns false for one that is older than the newest. */
  boolean accept(PeerHeartbeat heartbeat, long now) {
    if (heard && heartbeat.getSentAt() - newest.getSentAt() <= 0) {
      return false;
    }
    newest = heartbeat;
    heardAt = now;
    heard = true;
    return true;
  }

  /** Tells whether the peer was heard within the timeout. */
  boolean isLive(long now, long timeout) {
    return heard && now - heardAt <= timeout;
  }
}
