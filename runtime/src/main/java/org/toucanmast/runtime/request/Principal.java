package org.toucanmast.runtime.request;

/**
 * On whose behalf a request runs.
 *
 * @param name the customer, or the open route's allowance name
 * @param keyHash the hash of the key that came with it; empty on an open route
 */
public record Principal(String name, String keyHash) {
  /** Tells whether the request came without a key, over a route that is open to all. */
  public boolean isOpen() {
    return keyHash.isEmpty();
  }
}
