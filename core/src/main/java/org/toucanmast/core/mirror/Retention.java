package org.toucanmast.core.mirror;

import java.util.OptionalLong;

/**
 * How long a mirror keeps what it knows from an earlier era of the store while the restored store
 * lacks it or shows an older state.
 *
 * <p>Load pattern: the store comes back from a copy that is some seconds old. For a moment it shows
 * an older configuration, endpoints as ready that are leaving, and lacks others that are alive,
 * until their writers have written them again.
 */
public enum Retention {
  /** What is newer is never given up; its writer writes it again, whenever that may be. */
  NEWEST {
    @Override
    public boolean hasEnded(OptionalLong eraBeganAt, long now) {
      return false;
    }
  },
  /** Objects whose writers write them again within seconds. */
  REWRITTEN {
    @Override
    public boolean hasEnded(OptionalLong eraBeganAt, long now) {
      return isOver(REWRITE_TIMEOUT_IN_MILLISECONDS, eraBeganAt, now);
    }
  },
  /** The entries of VMs, which know their own state and are found unreachable by other means. */
  MEMBERS {
    @Override
    public boolean hasEnded(OptionalLong eraBeganAt, long now) {
      return isOver(MEMBERS_TIMEOUT_IN_MILLISECONDS, eraBeganAt, now);
    }
  };

  /** The writers' two seconds, and the time until every VM has their changes. */
  private static final long REWRITE_TIMEOUT_IN_MILLISECONDS = 2_500;

  /** Time in which each VM that reaches the store registers again. */
  private static final long MEMBERS_TIMEOUT_IN_MILLISECONDS = 10_000;

  /**
   * Returns whether the store's state counts although it is older or an object is missing.
   *
   * @param eraBeganAt when the era began, in milliseconds; empty if it began before this VM knew
   *     anything, so that writers have had their time
   * @param now the current time, in milliseconds
   */
  public abstract boolean hasEnded(OptionalLong eraBeganAt, long now);

  private static boolean isOver(long timeoutInMilliseconds, OptionalLong eraBeganAt, long now) {
    return eraBeganAt.isEmpty() || now - eraBeganAt.getAsLong() >= timeoutInMilliseconds;
  }
}
