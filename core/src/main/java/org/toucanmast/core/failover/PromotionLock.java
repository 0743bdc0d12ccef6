package org.toucanmast.core.failover;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the store says about the promotion lock of a group, and from when on a VM that acquires the
 * lock may order promotions.
 *
 * <p>Load pattern: the store is restored from a copy while primaries fail. An acquisition of the
 * lock, or the record that its holder has ordered, may be lost, and the lock says nothing about the
 * lost time.
 *
 * @param holder the VM that acquired the lock last; empty if it is not known
 * @param era the era of the store in which it was acquired
 * @param ordered whether a promotion may have been ordered under the lock
 */
public record PromotionLock(String holder, long era, boolean ordered) {

  /**
   * Returns from when on a VM that has just acquired the lock may order promotions, in
   * milliseconds.
   *
   * @param previous the lock before that; empty if the store had none
   * @param vm the name of the VM
   * @param era the era in which the VM has acquired the lock
   * @param eraBeganAt when that era began, in milliseconds; empty if it is not known
   * @param lease the minimum time between orders of different holders, in milliseconds
   * @param now the current time, in milliseconds
   */
  public static long usableFrom(
      Optional<PromotionLock> previous,
      String vm,
      long era,
      OptionalLong eraBeganAt,
      long lease,
      long now) {
    boolean isOfEra = previous.isPresent() && previous.get().era() == era;
    long afterLostOrders = isOfEra || eraBeganAt.isEmpty() ? now : eraBeganAt.getAsLong() + lease;
    if (previous.isEmpty()) {
      return Math.max(now, afterLostOrders);
    }
    boolean isOwn = previous.get().holder().equals(vm) && (isOfEra || eraBeganAt.isPresent());
    boolean mayHaveOrdered = previous.get().ordered() || !isOfEra && eraBeganAt.isEmpty();
    return Math.max(afterLostOrders, !isOwn && mayHaveOrdered ? now + lease : now);
  }
}
