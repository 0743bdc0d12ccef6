package org.toucanmast.core.membership;

/**
 * Decides whether a VM may rely on the keys it knows.
 *
 * <p>A withdrawn key must stop within seconds, so a VM needs word that its revision is the newest:
 * from the platform or from a peer. While the platform is down for all, no edit can be accepted;
 * then the last confirmed revision stays in force at VMs that hear a majority of the members.
 */
public final class KeyTrust {
  private final long limit;

  /**
   * Creates the decision.
   *
   * @param limit how old the newest confirmation may be, in nanoseconds
   */
  public KeyTrust(long limit) {
    this.limit = limit;
  }

  /**
   * Decides.
   *
   * @param confirmationAge age of the newest confirmation, of this VM or a peer, in nanoseconds; -1
   *     when there was none
   * @param heard members heard from lately, this VM included
   * @param members all members
   */
  public boolean trusts(long confirmationAge, int heard, int members) {
    if (confirmationAge < 0) {
      return false;
    }
    return confirmationAge <= limit || 2 * heard > members;
  }
}
