package org.toucanmast.runtime.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.runtime.peer.PeerIdentity;

/** The peers that this VM knows, by name. */
public final class PeerTable {
  private static final long REMOVE_AFTER_TIMEOUTS = 100;

  private final String self;
  private final String dataCentre;
  private final long timeoutInNanoseconds;
  private final Map<String, PeerState> peers = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param self the name of this VM
   * @param dataCentre the data centre of this VM
   * @param timeoutInNanoseconds the time without a heartbeat after which a peer is no longer live
   */
  public PeerTable(String self, String dataCentre, long timeoutInNanoseconds) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.timeoutInNanoseconds = timeoutInNanoseconds;
  }

  /**
   * Returns the state of a peer, adding the peer if it is unknown.
   *
   * @param onNewIncarnation called if the peer was unknown or has a newer incarnation than the
   *     known one
   */
  PeerState findOrCreate(PeerIdentity identity, Runnable onNewIncarnation) {
    PeerState state = peers.get(identity.name());
    if (state == null) {
      state = new PeerState(identity);
      peers.put(identity.name(), state);
      onNewIncarnation.run();
    } else if (identity.incarnation() > state.identity().incarnation()) {
      state.onRestart(identity);
      onNewIncarnation.run();
    }
    return state;
  }

  /** Returns the state of the peer with a name, or empty if it is unknown. */
  public Optional<PeerState> find(String name) {
    return Optional.ofNullable(peers.get(name));
  }

  /** Returns all known peers, live or not. */
  public Collection<PeerState> all() {
    return peers.values();
  }

  /**
   * Removes the peers that the platform no longer lists and that have been silent for many
   * timeouts.
   *
   * @param listed the names of the VMs that the platform lists
   * @param now the current time, in nanoseconds
   */
  public void removeUnlisted(Set<String> listed, long now) {
    peers
        .values()
        .removeIf(
            peer ->
                !listed.contains(peer.identity().name())
                    && !peer.isLive(now, REMOVE_AFTER_TIMEOUTS * timeoutInNanoseconds));
  }

  /** Returns whether a VM is live: this VM, or a peer whose heartbeat came within the timeout. */
  public boolean isLive(String name, long now) {
    return name.equals(self)
        || find(name).filter(peer -> peer.isLive(now, timeoutInNanoseconds)).isPresent();
  }

  /** Returns whether the newest heartbeat of a peer reports that it is leaving. */
  public boolean isLeaving(String name) {
    return find(name).filter(peer -> peer.newestHeartbeat().getLeaving()).isPresent();
  }

  /** Returns the live VMs, this VM included: data centre by VM name. */
  public Map<String, String> liveVms(long now) {
    Map<String, String> live = new HashMap<>();
    live.put(self, dataCentre);
    for (PeerState peer : peers.values()) {
      if (peer.isLive(now, timeoutInNanoseconds)) {
        live.put(peer.identity().name(), peer.identity().dataCentre());
      }
    }
    return live;
  }

  /** Returns the live VMs that are not leaving: data centre by VM name. */
  public Map<String, String> liveAndNotLeaving(long now) {
    Map<String, String> vms = liveVms(now);
    Set<String> leaving = new HashSet<>(vms.keySet());
    leaving.removeIf(name -> !isLeaving(name));
    vms.keySet().removeAll(leaving);
    return vms;
  }
}
