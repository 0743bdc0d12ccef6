package org.toucanmast.core.mirror;

import java.util.OptionalLong;

/**
 * How long ago the store gave the answer from which this VM knows the objects of one kind, directly
 * or through peers. Each kind has its own age: the answers to one watch say nothing about another.
 *
 * <p>Load pattern: all watchers fail at once, or a VM is cut off from its peers but not from the
 * store. Each VM then asks the store itself, at different moments, so that the fleet does not
 * exceed the rates that the store serves.
 */
public final class MirrorFreshness {
  /** Separates the hashes of names that differ in their last digit only; from Knuth. */
  private static final int HASH_MULTIPLIER = 0x9E3779B1;

  private final long maximumAgeInMilliseconds;
  private final long startedAt;
  private long answeredAt = Long.MIN_VALUE;

  /**
   * Creates the state of a VM that has heard nothing yet.
   *
   * @param vm the name of the VM, which determines its part of the spread
   * @param timing the age up to which peers are relied on, and its spread over the VMs
   * @param now the current time, in milliseconds
   */
  public MirrorFreshness(String vm, PropagationTiming timing, long now) {
    maximumAgeInMilliseconds =
        timing.maximumAgeInMilliseconds()
            + Math.floorMod(
                vm.hashCode() * HASH_MULTIPLIER, Math.max(1, timing.spreadInMilliseconds()));
    startedAt = now;
  }

  /**
   * Records that the store answered this VM.
   *
   * @param now the current time, in milliseconds
   * @return whether to pass the age on to peers at once
   */
  public boolean onStoreAnswered(long now) {
    return onPeerAge(0, now);
  }

  /**
   * Records the age that a peer passed on, whose objects this VM has.
   *
   * @param ageInMilliseconds the age at the peer
   * @param now the current time, in milliseconds
   * @return whether to pass the age on to peers at once: the one that they may have is high, so
   *     that they would not rely on it for much longer
   */
  public boolean onPeerAge(long ageInMilliseconds, long now) {
    boolean wasHigh = isHigh(now);
    answeredAt = Math.max(answeredAt, now - Math.max(0, ageInMilliseconds));
    return wasHigh && !isHigh(now);
  }

  private boolean isHigh(long now) {
    return now - Math.max(answeredAt, startedAt) > maximumAgeInMilliseconds / 2;
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
   * Returns when the store gave the answer from which this VM knows the objects, in milliseconds;
   * changes that it does not know yet were made later. Empty if the store has answered nobody.
   */
  public OptionalLong answeredAt() {
    return answeredAt == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(answeredAt);
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
