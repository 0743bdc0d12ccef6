package org.toucanmast.core.allowance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The lending side of one VM: to whom its share of each allowance is lent.
 *
 * <p>A share is lent to at most one holder at a time. To move it, the VM first withdraws it from
 * each old holder, and waits until that holder has acknowledged the withdrawal or until the lease
 * has run out there for certain. Source: leases after Gray and Cheriton, 1989.
 */
public final class Lender {
  private final long leaseBound;
  private final Map<String, Long> lentAt = new HashMap<>();
  private final Map<String, Long> acknowledged = new HashMap<>();
  private final Set<String> withdrawing = new HashSet<>();
  private LendingView active = LendingView.NONE;
  private LendingView wanted = LendingView.NONE;
  private long version;
  private long viewNumber;

  /**
   * Creates a lender that lends nothing.
   *
   * @param leaseBound how long after its last renewal a lease has run out at the holder for
   *     certain, in nanoseconds; longer than the lease by the drift of clocks
   */
  public Lender(long leaseBound) {
    this.leaseBound = leaseBound;
  }

  /** Returns the view in force. */
  public LendingView active() {
    return active;
  }

  /** Returns a number that rises with each change of the view in force. */
  public long viewNumber() {
    return viewNumber;
  }

  /** Returns the number of the newest change, which holders acknowledge. */
  public long version() {
    return version;
  }

  /** Tells whether a peer's next heartbeat says that shares are lent to it. */
  public boolean lendsTo(String peer) {
    return active.candidates().contains(peer) && !withdrawing.contains(peer);
  }

  /**
   * Notes that a heartbeat which lends to a peer echoes a time stamp of that peer.
   *
   * @param receivedAt when this VM received the stamp, in nanoseconds; the lease that the peer
   *     counts began no later
   */
  public void onLent(String peer, long receivedAt) {
    lentAt.merge(peer, receivedAt, (left, right) -> left - right >= 0 ? left : right);
  }

  /** Takes in which version a peer has received. */
  public void onAcknowledged(String peer, long acknowledgedVersion) {
    acknowledged.merge(peer, acknowledgedVersion, Math::max);
  }

  /** Forgets a peer's earlier run; what it held is gone with it. */
  public void onPeerRestarted(String peer) {
    acknowledged.remove(peer);
    lentAt.remove(peer);
    withdrawing.remove(peer);
  }

  /** Wants another view; it comes into force once all that moves has been taken back. */
  public void want(LendingView view, long now) {
    if (!view.equals(wanted)) {
      wanted = view;
      version++;
      withdrawing.clear();
      withdrawing.addAll(losingHolders());
    }
    step(now);
  }

  /** Brings the wanted view into force when every old holder has let go. */
  public void step(long now) {
    withdrawing.removeIf(peer -> hasLetGo(peer, now));
    if (withdrawing.isEmpty() && !active.equals(wanted)) {
      active = wanted;
      viewNumber++;
    }
  }

  /** Returns the peers from which some share moves away; a new candidate takes from all. */
  private Set<String> losingHolders() {
    Set<String> before = active.candidates();
    Set<String> after = wanted.candidates();
    Set<String> losing = new HashSet<>(lentAt.keySet());
    if (before.containsAll(after)) {
      losing.removeAll(after);
    }
    return losing;
  }

  private boolean hasLetGo(String peer, long now) {
    Long lent = lentAt.get(peer);
    boolean gone =
        lent == null || acknowledged.getOrDefault(peer, -1L) >= version || now - lent >= leaseBound;
    if (gone) {
      lentAt.remove(peer);
    }
    return gone;
  }
}
