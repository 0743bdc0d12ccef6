package org.toucanmast.core.membership;

/**
 * Decides whether a VM may accept the API keys of its configuration.
 *
 * <p>A revoked key must be refused within seconds, so the VM needs a recent confirmation, from the
 * platform or a peer, that its revision is the newest. While the platform is unavailable to all VMs
 * it accepts no change of the configuration, so the last confirmed revision stays valid at VMs that
 * receive heartbeats from a majority of the members.
 */
public final class KeyTrustPolicy {
  private final long maximumConfirmationAgeInNanoseconds;

  /**
   * Creates a policy.
   *
   * @param maximumConfirmationAgeInNanoseconds the age up to which a confirmation suffices by
   *     itself
   */
  public KeyTrustPolicy(long maximumConfirmationAgeInNanoseconds) {
    this.maximumConfirmationAgeInNanoseconds = maximumConfirmationAgeInNanoseconds;
  }

  /**
   * Returns whether the VM may accept its API keys.
   *
   * @param confirmationAgeInNanoseconds the time since the revision was last confirmed, directly or
   *     through a peer; -1 when it never was
   * @param liveMembers the number of members with recent heartbeats, including this VM
   * @param members the number of all members
   */
  public boolean mayTrustKeys(long confirmationAgeInNanoseconds, int liveMembers, int members) {
    if (confirmationAgeInNanoseconds < 0) {
      return false;
    }
    return confirmationAgeInNanoseconds <= maximumConfirmationAgeInNanoseconds
        || 2 * liveMembers > members;
  }
}
