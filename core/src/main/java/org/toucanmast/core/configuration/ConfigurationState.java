package org.toucanmast.core.configuration;

/**
 * The configuration in force at one VM; only a higher revision replaces it.
 *
 * <p>Also records when the platform last confirmed that this revision is the newest, directly or
 * through a peer: a VM that can reach neither the platform nor a peer must stop relying on its API
 * keys.
 */
public final class ConfigurationState {
  private FleetConfiguration current = FleetConfiguration.empty();
  private long outdatedRevision;
  private long confirmedAtInNanoseconds;
  private boolean confirmed;

  /** Returns the configuration in force. */
  public FleetConfiguration current() {
    return current;
  }

  /**
   * Puts a configuration in force if its revision is higher than the current one.
   *
   * @return whether the candidate is now in force
   */
  public boolean replaceIfNewer(FleetConfiguration candidate) {
    if (candidate.revision() <= current.revision()) {
      return false;
    }
    current = candidate;
    return true;
  }

  /**
   * Keeps the configuration in force although the platform has a higher revision: the platform was
   * restored from a copy, and under that revision shows an earlier state. Until it is edited, a
   * confirmation of that revision confirms the configuration in force.
   */
  public void keepAgainst(long revision) {
    outdatedRevision = revision;
  }

  /** Returns whether a revision is one against which the configuration in force is kept. */
  public boolean isKeptAgainst(long revision) {
    return outdatedRevision > current.revision() && revision == outdatedRevision;
  }

  /**
   * Records that the platform reported a revision as its newest. Confirmations of other revisions
   * than the one in force, and confirmations older than the last one, are ignored.
   *
   * @param revision the platform's newest revision at that time
   * @param atInNanoseconds the time of the report by this VM's clock
   */
  public void confirm(long revision, long atInNanoseconds) {
    if (revision != current.revision() && !isKeptAgainst(revision)) {
      return;
    }
    if (!confirmed || atInNanoseconds - confirmedAtInNanoseconds > 0) {
      confirmed = true;
      confirmedAtInNanoseconds = atInNanoseconds;
    }
  }

  /**
   * Returns the time since the platform last confirmed the revision that was then in force, in
   * nanoseconds; -1 when it never did.
   */
  public long confirmationAgeInNanoseconds(long nowInNanoseconds) {
    return confirmed ? Math.max(0, nowInNanoseconds - confirmedAtInNanoseconds) : -1;
  }

  /** Returns whether a configuration has been loaded. */
  public boolean isReady() {
    return current.revision() > 0;
  }
}
