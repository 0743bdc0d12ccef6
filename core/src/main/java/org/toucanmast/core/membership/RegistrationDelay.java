package org.toucanmast.core.membership;

/**
 * When each VM of a fleet registers again after the store has lost the entries of many.
 *
 * <p>Load pattern: the store is restored from a copy that is older than the fleet. Thousands of VMs
 * notice within a second that their entries are missing; if all wrote at once, the store would
 * refuse most of them, and those would write again.
 */
public final class RegistrationDelay {
  /** Minimum time over which a fleet spreads its registrations. */
  private static final long MINIMUM_SPREAD_IN_MILLISECONDS = 600;

  /** Mean time between the registrations of two VMs. */
  private static final long INTERVAL_IN_MILLISECONDS = 2;

  /** Separates the hashes of names that differ in their last digit only; from Knuth. */
  private static final int HASH_MULTIPLIER = 0x9E3779B1;

  private RegistrationDelay() {}

  /**
   * Returns the delay before a VM registers again, in milliseconds, at least 1.
   *
   * @param vm the name of the VM, which determines its part of the spread
   * @param members the number of VMs in the fleet
   */
  public static long inMilliseconds(String vm, int members) {
    long spread = Math.max(MINIMUM_SPREAD_IN_MILLISECONDS, members * INTERVAL_IN_MILLISECONDS);
    return 1 + Math.floorMod(vm.hashCode() * HASH_MULTIPLIER, spread);
  }
}
