package org.toucanmast.core.mirror;

import java.util.OptionalLong;

/**
 * How long ago the store answered a VM whose changes reach this VM, directly or through peers.
 *
 * <p>Load pattern: all watchers fail at once, or a VM is cut off from its peers but not from the
 * store. Each VM then asks the store itself, at different moments, so that the fleet does not
 * exceed the rates that the store serves.
 */
public final class MirrorFreshness {
  /**
   * An age at which peers are no longer relied on: a watch's wait with its margin, and some hops.
   */
  private static final long MAXIMUM_AGE_IN_MILLISECONDS = 5_500;

  /** VMs give up their reliance on peers over this time, not at the same moment. */
  private static final long SPREAD_IN_MILLISECONDS = 1_500;

  /** Separates the hashes of names that differ in their last digit only; from Knuth. */
  private static final int HASH_MULTIPLIER = 0x9E3779B1;

  private final long maximumAgeInMilliseconds;
  private final long startedAt;
  private long answeredAt = Long.MIN_VALUE;

  /**
   * Creates the state of a VM that has heard nothing yet.
   *
   * @param vm the name of the VM, which determines its part of the spread
   * @param now the current time, in milliseconds
   */
  public MirrorFreshness(String vm, long now) {
    maximumAgeInMilliseconds =
        MAXIMUM_AGE_IN_MILLISECONDS
            + Math.floorMod(vm.hashCode() * HASH_MULTIPLIER, SPREAD_IN_MILLISECONDS);
    startedAt = now;
  }

  /**
   * Records that the store answered this VM.
   *
   * @param now the current time, in milliseconds
   */
  public void onStoreAnswered(long now) {
    answeredAt = now;
  }

  /**
   * Records the age that a peer passed on.
   *
   * @param ageInMilliseconds the age at the peer
   * @param now the current time, in milliseconds
   */
  public void onPeerAge(long ageInMilliseconds, long now) {
    answeredAt = Math.max(answeredAt, now - Math.max(0, ageInMilliseconds));
  }

  /**
   * Returns the age to pass on to peers, in milliseconds; empty if the store has answered nobody.
   *
   * @param now the current time, in milliseconds
   */
  public OptionalLong ageInMilliseconds(long now) {
    return answeredAt == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(now - answeredAt);
  }

  /**
   * Returns whether this VM must ask the store itself.
   *
   * @param now the current time, in milliseconds
   */
  public boolean isOutdated(long now) {
    return now - Math.max(answeredAt, startedAt) > maximumAgeInMilliseconds;
  }
}
