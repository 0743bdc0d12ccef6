package org.toucanmast.runtime.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.runtime.peer.PeerIdentity;

/** All peers that this VM has heard of. */
public final class PeerTable {
  private static final long FORGET_AFTER_TIMEOUTS = 100;

  private final String self;
  private final String dataCentre;
  private final long timeout;
  private final Map<String, PeerState> peers = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param self the name of this VM
   * @param dataCentre where this VM runs
   * @param timeout the silence after which a peer is not live, in nanoseconds
   */
  public PeerTable(String self, String dataCentre, long timeout) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.timeout = timeout;
  }

  /** Returns the state of a peer; {@code restarted} is called when an earlier run was known. */
  PeerState of(PeerIdentity identity, Runnable restarted) {
    PeerState state = peers.get(identity.name());
    if (state == null) {
      state = new PeerState(identity);
      peers.put(identity.name(), state);
      restarted.run();
    } else if (identity.incarnation() > state.identity().incarnation()) {
      state.restart(identity);
      restarted.run();
    }
    return state;
  }

  /** Returns the state of a peer by name. */
  public Optional<PeerState> find(String name) {
    return Optional.ofNullable(peers.get(name));
  }

  /** Returns all peers. */
  public Collection<PeerState> all() {
    return peers.values();
  }

  /** Removes the peers that the platform no longer lists and that have been silent for long. */
  public void retain(Set<String> listed, long now) {
    peers
        .values()
        .removeIf(
            peer ->
                !listed.contains(peer.identity().name())
                    && !peer.isLive(now, FORGET_AFTER_TIMEOUTS * timeout));
  }

  /** Tells whether a VM is live: this one, or a peer heard within the timeout. */
  public boolean isLive(String name, long now) {
    return name.equals(self) || find(name).filter(peer -> peer.isLive(now, timeout)).isPresent();
  }

  /** Tells whether a peer has said that it is leaving. */
  public boolean isLeaving(String name) {
    return find(name).filter(peer -> peer.newest().getLeaving()).isPresent();
  }

  /** Returns the data centre by name of each live VM, this one included. */
  public Map<String, String> live(long now) {
    Map<String, String> live = new HashMap<>();
    live.put(self, dataCentre);
    for (PeerState peer : peers.values()) {
      if (peer.isLive(now, timeout)) {
        live.put(peer.identity().name(), peer.identity().dataCentre());
      }
    }
    return live;
  }

  /** Returns the live VMs that are not leaving. */
  public Map<String, String> staying(long now) {
    Map<String, String> staying = live(now);
    Set<String> leaving = new HashSet<>(staying.keySet());
    leaving.removeIf(name -> !isLeaving(name));
    staying.keySet().removeAll(leaving);
    return staying;
  }
}
