package org.toucanmast.core.failover;

/**
 * Decides whether a gateway may order the promotion of an endpoint, from what it can reach itself.
 *
 * <p>Load pattern: a VM that was cut off finds no primary, because the group replaced it meanwhile
 * on the other side. It reaches few of the group's endpoints, among them the former primary, and
 * would promote that one again: commits of the newer term would be rolled back. It must wait until
 * it can be excluded that it is the one that was cut off.
 */
public final class OrderPermission {
  /** Longer than cuts last that end by themselves; then only few VMs are left, and must order. */
  private static final long ISOLATION_PAUSE_IN_MILLISECONDS = 10_000;

  /** How long polls must have reached half of the endpoints or fewer before one of them counts. */
  private static final long MINORITY_PAUSE_IN_MILLISECONDS = 6_000;

  private static final long NEVER = Long.MIN_VALUE;

  private long isolatedSince = NEVER;
  private long minoritySince = NEVER;

  /**
   * Records whether most of the VMs that this VM monitors do not answer it.
   *
   * @param now the current time, in milliseconds
   */
  public void onIsolation(boolean isolated, long now) {
    if (!isolated) {
      isolatedSince = NEVER;
    } else if (isolatedSince == NEVER) {
      isolatedSince = now;
    }
  }

  /**
   * Returns whether this VM may ask endpoints for their positions in order to replace a primary.
   *
   * @param now the current time, in milliseconds
   */
  public boolean mayPoll(long now) {
    return isolatedSince == NEVER || now - isolatedSince >= ISOLATION_PAUSE_IN_MILLISECONDS;
  }

  /**
   * Returns whether a candidate may be chosen after a poll.
   *
   * @param answered the endpoints that reported their positions, and the present primary if it
   *     still answers
   * @param endpoints all endpoints of the group
   * @param now the current time, in milliseconds
   */
  public boolean mayChoose(int answered, int endpoints, long now) {
    if (2 * answered > endpoints) {
      minoritySince = NEVER;
      return true;
    }
    if (minoritySince == NEVER) {
      minoritySince = now;
    }
    return now - minoritySince >= MINORITY_PAUSE_IN_MILLISECONDS;
  }

  /** Records that the group has a usable primary, so that earlier polls count no more. */
  public void onPrimaryUsable() {
    minoritySince = NEVER;
  }
}
