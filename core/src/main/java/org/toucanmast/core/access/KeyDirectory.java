package org.toucanmast.core.access;

import java.util.Optional;

/**
 * The holders of all keys in one version of the configuration.
 *
 * @param <K> the form in which the keys are known
 */
public interface KeyDirectory<K> {
  /** Returns the version of the configuration, which increases with each change. */
  long version();

  /** Returns the name of the customer that holds a key; empty if none does. */
  Optional<String> holderOf(K key);
}
