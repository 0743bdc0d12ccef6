package org.toucanmast.runtime.platform;

import org.toucanmast.core.membership.Epoch;

/** What the platform duty tells the requests duty; called on the latter's thread. */
public interface PlatformEvents {
  /**
   * The platform named its newest configuration.
   *
   * @param value the document's JSON, or an empty text when it has not changed
   * @param confirmedAt a time at which the revision was the newest, in nanoseconds
   */
  void onConfiguration(long revision, String value, long confirmedAt);

  /** The platform's list of VMs. */
  void onVms(PlatformVms vms);

  /** The epoch that the platform holds. */
  void onEpoch(Epoch epoch);
}
