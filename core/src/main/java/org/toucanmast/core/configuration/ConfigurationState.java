package org.toucanmast.core.configuration;

/**
 * The configuration in force at one VM; only a higher revision replaces it.
 *
 * <p>The state also knows how long ago the platform last confirmed its revision, directly or
 * through a peer: a VM that is cut off from platform and peers must stop trusting its keys.
 */
public final class ConfigurationState {
  private FleetConfiguration current = FleetConfiguration.empty();
  private long confirmedAt;
  private boolean confirmed;

  /** Returns the configuration in force. */
  public FleetConfiguration current() {
    return current;
  }

  /**
   * Offers a configuration.
   *
   * @return whether it is now in force; false when its revision is not higher
   */
  public boolean offer(FleetConfiguration candidate) {
    if (candidate.revision() <= current.revision()) {
      return false;
    }
    current = candidate;
    return true;
  }

  /**
   * Notes that the platform named a revision as its newest.
   *
   * @param revision the platform's newest revision at that time
   * @param at when, by this VM's clock, in nanoseconds
   */
  public void confirm(long revision, long at) {
    if (revision != current.revision()) {
      return;
    }
    if (!confirmed || at - confirmedAt > 0) {
      confirmed = true;
      confirmedAt = at;
    }
  }

  /** Returns how long ago the revision in force was confirmed, in nanoseconds; -1 when never. */
  public long age(long now) {
    return confirmed ? Math.max(0, now - confirmedAt) : -1;
  }

  /** Tells whether any configuration is in force. */
  public boolean isReady() {
    return current.revision() > 0;
  }
}
