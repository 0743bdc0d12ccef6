package org.toucanmast.core.mirror;

/**
 * How long a mirror keeps what it knows while the store lacks it or shows an older state, after the
 * store was away or was restored from a copy.
 *
 * <p>Load pattern: the store comes back from a copy that is some seconds old, or leases ran out
 * while nobody could renew them. For a moment it shows an older configuration, endpoints as ready
 * that are leaving, and lacks others that are alive, until their writers have written them again.
 */
public enum Retention {
  /** What is newer is never given up; its writer writes it again, whenever that may be. */
  NEWEST {
    @Override
    public long endsAt(long returnedAt) {
      return Long.MAX_VALUE;
    }
  },
  /** Objects whose writers write them again within seconds. */
  REWRITTEN {
    @Override
    public long endsAt(long returnedAt) {
      return returnedAt + REWRITE_TIMEOUT_IN_MILLISECONDS;
    }
  },
  /** The entries of VMs, which know their own state and are found unreachable by other means. */
  MEMBERS {
    @Override
    public long endsAt(long returnedAt) {
      return returnedAt + MEMBERS_TIMEOUT_IN_MILLISECONDS;
    }
  };

  /** The writers' two seconds, and the time until every VM has their changes. */
  private static final long REWRITE_TIMEOUT_IN_MILLISECONDS = 2_500;

  /** Time in which each VM that reaches the store registers again. */
  private static final long MEMBERS_TIMEOUT_IN_MILLISECONDS = 10_000;

  /**
   * Returns from when on the store's state counts also where it is older or lacks an object.
   *
   * @param returnedAt when the store came back, in milliseconds
   */
  public abstract long endsAt(long returnedAt);
}
