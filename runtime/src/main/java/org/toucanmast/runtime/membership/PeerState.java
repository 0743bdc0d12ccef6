package org.toucanmast.runtime.membership;

import java.util.Optional;
import org.toucanmast.core.allowance.LendingView;
import org.toucanmast.runtime.peer.PeerIdentity;
import org.toucanmast.schema.PeerHeartbeat;

/** What this VM knows of one peer. */
public final class PeerState {
  private PeerIdentity identity;
  private PeerHeartbeat newest = PeerHeartbeat.getDefaultInstance();
  private long heardAt;
  private boolean heard;
  private LendingView view = LendingView.NONE;
  private long viewNumber;

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

  /** Returns the newest number of the view by which the peer lends. */
  long viewNumber() {
    return viewNumber;
  }

  /** Returns the view of the given number, if it was received. */
  Optional<LendingView> view(long number) {
    return number == viewNumber && number > 0 ? Optional.of(view) : Optional.empty();
  }

  /** Keeps the view by which the peer lends. */
  void keepView(long number, LendingView received) {
    viewNumber = number;
    view = received;
  }

  /** Takes in that the peer runs anew. */
  void restart(PeerIdentity newIdentity) {
    viewNumber = 0;
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
