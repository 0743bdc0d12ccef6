package org.toucanmast.core.mirror;

import java.util.OptionalLong;

/**
 * The store's era, as far as this VM knows, and since when it has been in force.
 *
 * <p>Load pattern: the store is restored from a copy while some VMs are frozen, cut off or just
 * starting, so that they learn of the new era at different times, from the store or from peers.
 * What was read in an earlier era must not be passed off as current by any of them.
 */
public final class StoreEra {
  private static final long UNKNOWN = -1;

  private long number = UNKNOWN;
  private OptionalLong beganAt = OptionalLong.empty();

  /** Returns the number of the era; 0 if it is not known yet. */
  public long number() {
    return Math.max(0, number);
  }

  /**
   * Records the era of an answer of the store.
   *
   * @param now the current time, in milliseconds
   * @return whether this VM has seen the beginning of a new era; the first era that a VM gets to
   *     know may have begun long ago
   */
  public boolean onAnswer(long era, long now) {
    if (era <= number) {
      return false;
    }
    boolean knewAnother = number != UNKNOWN;
    number = era;
    beganAt = knewAnother ? OptionalLong.of(now) : OptionalLong.empty();
    return knewAnother;
  }

  /**
   * Records the era that a peer knows.
   *
   * @param ageInMilliseconds for how long the era has been in force as far as the peer knows; empty
   *     if the peer has not heard of its beginning
   * @param now the current time, in milliseconds
   * @return whether this VM knew only earlier eras
   */
  public boolean onPeer(long era, OptionalLong ageInMilliseconds, long now) {
    boolean isNew = onAnswer(era, now);
    if (era == number && ageInMilliseconds.isPresent()) {
      long reported = now - Math.max(0, ageInMilliseconds.getAsLong());
      beganAt = OptionalLong.of(Math.min(beganAt.orElse(reported), reported));
    }
    return isNew;
  }

  /** Returns when the era began, in milliseconds; empty if that is not known. */
  public OptionalLong beganAt() {
    return beganAt;
  }

  /**
   * Returns for how long the era has been in force, in milliseconds; empty if that is not known.
   *
   * @param now the current time, in milliseconds
   */
  public OptionalLong ageInMilliseconds(long now) {
    return beganAt.isPresent()
        ? OptionalLong.of(Math.max(0, now - beganAt.getAsLong()))
        : OptionalLong.empty();
  }
}
