package org.toucanmast.core.access;

import java.util.Optional;

/**
 * The customer that held a key when work was begun, kept with the work.
 *
 * <p>Whoever acts for the customer asks {@link #statusIn} at that time: a key may change hands
 * while a transaction is open, or while a statement waits or is repeated.
 *
 * @param key the key
 * @param customer the name of the customer that held the key
 * @param isOpen whether callers whose key nobody holds are served as {@link #ANONYMOUS}
 * @param version the version of the configuration in which the customer held the key
 * @param <K> the form in which the key is known
 */
public record KeyClaim<K>(K key, String customer, boolean isOpen, long version) {
  /** The name that stands for callers whose key nobody holds. */
  public static final String ANONYMOUS = "-";

  /** The reason for which work of a customer that no longer holds the key is refused. */
  public static final String NOT_HELD = "the key belongs to another customer or to none by now";

  /** The version of a claim that is checked against every configuration. */
  public static final long NO_VERSION = -1;

  /** The version of a claim that no configuration can refute. */
  public static final long UNCHECKED_VERSION = Long.MAX_VALUE;

  /**
   * Returns the claim of the customer that holds a key now; empty if nobody does and the access is
   * not open.
   */
  public static <K> Optional<KeyClaim<K>> of(K key, boolean isOpen, KeyDirectory<K> directory) {
    return holderIn(directory, key, isOpen)
        .map(holder -> new KeyClaim<>(key, holder, isOpen, directory.version()));
  }

  private static <K> Optional<String> holderIn(KeyDirectory<K> directory, K key, boolean isOpen) {
    Optional<String> holder = directory.holderOf(key);
    return holder.isEmpty() && isOpen ? Optional.of(ANONYMOUS) : holder;
  }

  /**
   * Returns who holds the key now. A configuration that is not newer than the claim cannot tell
   * otherwise: another VM may have made the claim by a newer one.
   */
  public KeyStatus statusIn(KeyDirectory<K> directory) {
    if (directory.version() <= version) {
      return KeyStatus.HELD;
    }
    Optional<String> holder = holderIn(directory, key, isOpen);
    if (holder.isEmpty()) {
      return KeyStatus.WITHDRAWN;
    }
    return holder.get().equals(customer) ? KeyStatus.HELD : KeyStatus.MOVED;
  }

  /** Returns whether the customer may still be acted for. */
  public boolean isHeldIn(KeyDirectory<K> directory) {
    return statusIn(directory) == KeyStatus.HELD;
  }

  /** Returns this claim as of a configuration in which the customer still holds the key. */
  public KeyClaim<K> confirmedBy(KeyDirectory<K> directory) {
    return directory.version() <= version
        ? this
        : new KeyClaim<>(key, customer, isOpen, directory.version());
  }
}
