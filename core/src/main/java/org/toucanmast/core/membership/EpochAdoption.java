package org.toucanmast.core.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a VM adopts a new epoch, so that the shares of all VMs never add up to more than one
 * allowance.
 *
 * <p>Removing a member increases the shares of the others, so they adopt the epoch only after every
 * lease of the removed member has expired. A VM that joins may use its share only after all other
 * members have adopted the epoch, and after the leases granted by an earlier process of the same VM
 * have expired.
 */
public final class EpochAdoption {
  private final String self;
  private final long maximumLeaseInNanoseconds;
  private final long startedAtInNanoseconds;
  private final Map<String, Long> adoptedByPeer = new HashMap<>();
  private Epoch adopted = Epoch.NONE;
  private Epoch newest = Epoch.NONE;
  private long newestLearnedAtInNanoseconds;
  private boolean joined;

  /**
   * Creates a state in which no epoch is adopted.
   *
   * @param self the name of this VM
   * @param maximumLeaseInNanoseconds an upper bound of the time until any lease has expired at all
   *     VMs
   * @param startedAtInNanoseconds the start time of this process, by this VM's clock
   */
  public EpochAdoption(String self, long maximumLeaseInNanoseconds, long startedAtInNanoseconds) {
    this.self = self;
    this.maximumLeaseInNanoseconds = maximumLeaseInNanoseconds;
    this.startedAtInNanoseconds = startedAtInNanoseconds;
  }

  /** Records an epoch read from the platform; one that is not newer is ignored. */
  public void onEpoch(Epoch epoch, long nowInNanoseconds) {
    if (epoch.number() > newest.number()) {
      newest = epoch;
      newestLearnedAtInNanoseconds = nowInNanoseconds;
    }
  }

  /** Records the number of the epoch that a peer has adopted. */
  public void onPeerAdopted(String peer, long number) {
    adoptedByPeer.put(peer, number);
  }

  /** Adopts the newest epoch if that is safe by now, and returns the adopted epoch. */
  public Epoch adopted(long nowInNanoseconds) {
    boolean sharesIncrease = newest.members().size() < adopted.members().size();
    boolean memberRemoved = !newest.members().containsAll(adopted.members());
    if (newest.number() > adopted.number()
        && (!(sharesIncrease || memberRemoved)
            || nowInNanoseconds - newestLearnedAtInNanoseconds >= maximumLeaseInNanoseconds)) {
      joined = joined && newest.members().contains(self);
      adopted = newest;
    }
    return adopted;
  }

  /** Returns the newest known epoch, whether adopted or not. */
  public Epoch newest() {
    return newest;
  }

  /** Returns whether this VM may use the share that the adopted epoch gives it. */
  public boolean mayUseShare(long nowInNanoseconds) {
    Epoch epoch = adopted(nowInNanoseconds);
    if (!epoch.members().contains(self)) {
      return false;
    }
    if (!joined) {
      joined =
          nowInNanoseconds - startedAtInNanoseconds >= maximumLeaseInNanoseconds
              && allOthersAdopted(epoch);
    }
    return joined;
  }

  private boolean allOthersAdopted(Epoch epoch) {
    return epoch.members().stream()
        .filter(member -> !member.equals(self))
        .allMatch(member -> adoptedByPeer.getOrDefault(member, -1L) >= epoch.number());
  }
}
