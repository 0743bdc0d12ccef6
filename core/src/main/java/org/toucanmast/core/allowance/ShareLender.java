package org.toucanmast.core.allowance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Lends the shares of one VM: determines the holder of its share of each allowance.
 *
 * <p>A share is lent to at most one holder at a time. To move it, the VM first withdraws it from
 * each previous holder, and waits until that holder has acknowledged the withdrawal or its lease
 * has certainly expired. Source: leases as described by Gray and Cheriton, 1989.
 */
public final class ShareLender {
  private final long leaseBoundNanoseconds;
  private final Map<String, Long> renewedAt = new HashMap<>();
  private final Map<String, Long> acknowledgedVersions = new HashMap<>();
  private final Set<String> withdrawing = new HashSet<>();
  private LendingView active = LendingView.NONE;
  private LendingView wanted = LendingView.NONE;
  private long version;
  private long viewNumber;

  /**
   * Creates a lender that lends no shares.
   *
   * @param leaseBoundNanoseconds the time after its last renewal at which a lease has certainly
   *     expired at the holder, in nanoseconds; the lease duration plus the maximum clock drift
   */
  public ShareLender(long leaseBoundNanoseconds) {
    this.leaseBoundNanoseconds = leaseBoundNanoseconds;
  }

  /** Returns the lending view that is in effect. */
  public LendingView active() {
    return active;
  }

  /** Returns a number that increases with each change of the view in effect. */
  public long viewNumber() {
    return viewNumber;
  }

  /** Returns the version of the wanted view, which holders acknowledge. */
  public long version() {
    return version;
  }

  /** Returns whether the next heartbeat to a peer should renew its lease. */
  public boolean lendsTo(String peer) {
    return active.candidates().contains(peer) && !withdrawing.contains(peer);
  }

  /**
   * Records the renewal of a peer's lease by a heartbeat that echoes a timestamp of that peer.
   *
   * @param receivedAt when this VM received the timestamp, in nanoseconds; the peer counts the
   *     lease from the timestamp itself, which is no later
   */
  public void onLeaseRenewed(String peer, long receivedAt) {
    renewedAt.merge(peer, receivedAt, (left, right) -> left - right >= 0 ? left : right);
  }

  /** Records that a peer has acknowledged a version. */
  public void onAcknowledged(String peer, long acknowledgedVersion) {
    acknowledgedVersions.merge(peer, acknowledgedVersion, Math::max);
  }

  /** Discards the state of a peer that has restarted; its earlier leases ended with the restart. */
  public void onPeerRestarted(String peer) {
    acknowledgedVersions.remove(peer);
    renewedAt.remove(peer);
    withdrawing.remove(peer);
  }

  /**
   * Sets the view that should take effect; it does once all shares that move have been withdrawn.
   *
   * @param now the current time, in nanoseconds
   */
  public void setWantedView(LendingView view, long now) {
    if (!view.equals(wanted)) {
      wanted = view;
      version++;
      withdrawing.clear();
      withdrawing.addAll(peersLosingShares());
    }
    applyWantedView(now);
  }

  /**
   * Puts the wanted view into effect if every previous holder has released its lease.
   *
   * @param now the current time, in nanoseconds
   */
  public void applyWantedView(long now) {
    withdrawing.removeIf(peer -> hasReleased(peer, now));
    if (withdrawing.isEmpty() && !active.equals(wanted)) {
      active = wanted;
      viewNumber++;
    }
  }

  /**
   * Returns the peers that lose a share; these are all peers with a lease when the wanted view has
   * a new candidate, because it may become the holder in place of any of them.
   */
  private Set<String> peersLosingShares() {
    Set<String> before = active.candidates();
    Set<String> after = wanted.candidates();
    Set<String> losing = new HashSet<>(renewedAt.keySet());
    if (before.containsAll(after)) {
      losing.removeAll(after);
    }
    return losing;
  }

  private boolean hasReleased(String peer, long now) {
    Long renewed = renewedAt.get(peer);
    boolean released =
        renewed == null
            || acknowledgedVersions.getOrDefault(peer, -1L) >= version
            || now - renewed >= leaseBoundNanoseconds;
    if (released) {
      renewedAt.remove(peer);
    }
    return released;
  }
}
