package org.toucanmast.runtime.platform;

import org.toucanmast.core.membership.Epoch;

/** Listener for changes at the platform; called on the request event loop. */
public interface PlatformListener {
  /**
   * Called when the platform has sent or confirmed its latest configuration.
   *
   * @param revision the latest revision
   * @param value the JSON of the document, or an empty string if it has not changed
   * @param confirmedAt a time at which the revision was the latest, in nanoseconds
   */
  void onConfiguration(long revision, String value, long confirmedAt);

  /** Called with each list of VMs that was read from the platform. */
  void onVms(PlatformVms vms);

  /** Called with each epoch that was read from or written to the platform. */
  void onEpoch(Epoch epoch);
}
