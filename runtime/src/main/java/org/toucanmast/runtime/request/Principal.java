package org.toucanmast.runtime.request;

import org.toucanmast.core.access.KeyClaim;

/**
 * The customer or the open route on whose behalf a request runs.
 *
 * @param name the customer's name, or the allowance name of the open route
 * @param keyHash the hash of the request's key; empty on an open route
 */
public record Principal(String name, String keyHash) {
  /** Returns the claim to act for the customer, to be checked against each configuration. */
  public KeyClaim<String> claim() {
    return new KeyClaim<>(keyHash, name, false, KeyClaim.NO_VERSION);
  }

  /** Returns whether the request came without a key, over an open route. */
  public boolean isAnonymous() {
    return keyHash.isEmpty();
  }
}
