package org.toucanmast.runtime.membership;

import java.util.Optional;
import org.toucanmast.core.allowance.LendingView;
import org.toucanmast.runtime.peer.PeerIdentity;
import org.toucanmast.schema.PeerHeartbeat;

/** What this VM knows of one peer: its identity, its newest heartbeat and its lending view. */
public final class PeerState {
  private PeerIdentity identity;
  private PeerHeartbeat newestHeartbeat = PeerHeartbeat.getDefaultInstance();
  private long newestHeartbeatAt;
  private boolean heartbeatReceived;
  private LendingView lendingView = LendingView.NONE;
  private long lendingViewNumber;

  PeerState(PeerIdentity identity) {
    this.identity = identity;
  }

  /** Returns the identity of the peer's newest known incarnation. */
  public PeerIdentity identity() {
    return identity;
  }

  /** Returns the newest heartbeat, or the default instance if none was received. */
  public PeerHeartbeat newestHeartbeat() {
    return newestHeartbeat;
  }

  /** Returns when the newest heartbeat was received, in nanoseconds. */
  public long newestHeartbeatAt() {
    return newestHeartbeatAt;
  }

  /** Returns the number of the newest known lending view of the peer, or 0. */
  long lendingViewNumber() {
    return lendingViewNumber;
  }

  /** Returns the peer's lending view if it is known and has the given number. */
  Optional<LendingView> lendingView(long number) {
    return number == lendingViewNumber && number > 0 ? Optional.of(lendingView) : Optional.empty();
  }

  /** Stores the peer's lending view and its number. */
  void setLendingView(long number, LendingView received) {
    lendingViewNumber = number;
    lendingView = received;
  }

  /** Resets the state after the peer started a new incarnation. */
  void onRestart(PeerIdentity newIdentity) {
    lendingViewNumber = 0;
    identity = newIdentity;
    newestHeartbeat = PeerHeartbeat.getDefaultInstance();
    heartbeatReceived = false;
  }

  /** Stores a heartbeat as the newest; returns false if it is not newer than the newest one. */
  boolean accept(PeerHeartbeat heartbeat, long now) {
    if (heartbeatReceived && heartbeat.getSentAt() - newestHeartbeat.getSentAt() <= 0) {
      return false;
    }
    newestHeartbeat = heartbeat;
    newestHeartbeatAt = now;
    heartbeatReceived = true;
    return true;
  }

  /** Returns whether a heartbeat of the peer was received within the timeout. */
  boolean isLive(long now, long timeoutInNanoseconds) {
    return heartbeatReceived && now - newestHeartbeatAt <= timeoutInNanoseconds;
  }
}
