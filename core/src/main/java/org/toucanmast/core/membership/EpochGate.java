package org.toucanmast.core.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a VM may act on a new epoch, so that the shares of all VMs never add up to more than
 * one allowance.
 *
 * <p>When a member was removed, the others' shares grow; they wait until every lease of the removed
 * one has run out. A VM that joins owns nothing until all other members have adopted the epoch, and
 * until leases that an earlier run of it gave have run out.
 */
public final class EpochGate {
  private final String self;
  private final long leaseBound;
  private final long startedAt;
  private final Map<String, Long> adoptedByPeer = new HashMap<>();
  private Epoch adopted = Epoch.NONE;
  private Epoch newest = Epoch.NONE;
  private long learnedAt;
  private boolean joined;

  /**
   * Creates a gate that has adopted nothing.
   *
   * @param leaseBound a time after which any lease has run out everywhere, in nanoseconds
   * @param startedAt when this run of the VM started, in nanoseconds
   */
  public EpochGate(String self, long leaseBound, long startedAt) {
    this.self = self;
    this.leaseBound = leaseBound;
    this.startedAt = startedAt;
  }

  /** Takes in an epoch; lower ones are ignored. */
  public void onEpoch(Epoch epoch, long now) {
    if (epoch.number() > newest.number()) {
      newest = epoch;
      learnedAt = now;
    }
  }

  /** Takes in the epoch that a peer has adopted. */
  public void onPeerAdopted(String peer, long number) {
    adoptedByPeer.put(peer, number);
  }

  /** Returns the newest epoch that this VM has adopted. */
  public Epoch adopted(long now) {
    boolean grows = newest.members().size() < adopted.members().size();
    boolean removed = !newest.members().containsAll(adopted.members());
    if (newest.number() > adopted.number()
        && (!(grows || removed) || now - learnedAt >= leaseBound)) {
      joined = joined && newest.members().contains(self);
      adopted = newest;
    }
    return adopted;
  }

  /** Returns the newest epoch known, adopted or not. */
  public Epoch newest() {
    return newest;
  }

  /** Tells whether this VM may use its own share of the adopted epoch. */
  public boolean mayOwn(long now) {
    Epoch epoch = adopted(now);
    if (!epoch.members().contains(self)) {
      return false;
    }
    if (!joined) {
      joined = now - startedAt >= leaseBound && allOthersAdopted(epoch);
    }
    return joined;
  }

  private boolean allOthersAdopted(Epoch epoch) {
    return epoch.members().stream()
        .filter(member -> !member.equals(self))
        .allMatch(member -> adoptedByPeer.getOrDefault(member, -1L) >= epoch.number());
  }
}
