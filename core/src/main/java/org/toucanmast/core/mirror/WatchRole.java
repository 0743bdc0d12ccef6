package org.toucanmast.core.mirror;

/**
 * Why a VM watches a kind of the store's objects, which determines how it repeats calls that fail.
 *
 * <p>Load pattern: the store refuses all calls for seconds. The few VMs that watch on behalf of
 * others notice its return soon and pass their news on; the many that stopped to rely on them would
 * multiply the refused calls by the size of the fleet, and learn nothing sooner.
 */
public enum WatchRole {
  /** The VM does not watch; only its first listing is repeated. */
  FOLLOWER,
  /** The VM watches on behalf of its data centre. */
  WATCHER,
  /** The VM watches because it heard nothing recent from peers. */
  FALLBACK {
    @Override
    public long retryDelayInMilliseconds(int failures, PropagationTiming timing) {
      long wait = timing.watchWaitInMilliseconds();
      return doubled(wait / FALLBACK_PARTS, failures, wait);
    }
  };

  /** Delay before the first retry of a failed call. */
  private static final long INITIAL_RETRY_DELAY_IN_MILLISECONDS = 100;

  /** Maximum delay before a retry; short, so that changes are seen soon after an outage. */
  private static final long MAXIMUM_RETRY_DELAY_IN_MILLISECONDS = 800;

  /** The part of a watch's wait after which a fallback retries first. */
  private static final long FALLBACK_PARTS = 4;

  /** Returns whether the VM watches. */
  public boolean watches() {
    return this != FOLLOWER;
  }

  /**
   * Returns the delay before a call is repeated, in milliseconds.
   *
   * @param failures how often the call has failed without an answer in between, at least 1
   * @param timing the timing of the kind; a fallback that can reach the store again does so within
   *     its limit
   */
  public long retryDelayInMilliseconds(int failures, PropagationTiming timing) {
    return doubled(
        INITIAL_RETRY_DELAY_IN_MILLISECONDS, failures, MAXIMUM_RETRY_DELAY_IN_MILLISECONDS);
  }

  private static long doubled(long initial, int failures, long maximum) {
    long delay = initial;
    for (int failure = 1; failure < failures && delay < maximum; failure++) {
      delay *= 2;
    }
    return Math.min(maximum, delay);
  }
}
