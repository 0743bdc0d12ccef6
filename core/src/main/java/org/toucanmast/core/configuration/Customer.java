package org.toucanmast.core.configuration;

import java.util.Set;

/**
 * A customer, with the values of its template applied.
 *
 * @param name the customer's name
 * @param allowance the rate and burst of its requests
 * @param hours the hours of the day in which its requests are accepted
 * @param databases the names of the databases it may access
 * @param keyHashes the SHA-256 hashes of its API keys
 */
public record Customer(
    String name,
    Allowance allowance,
    OpeningHours hours,
    Set<String> databases,
    Set<String> keyHashes) {
  /** Creates a customer with unmodifiable copies of the sets. */
  public Customer {
    databases = Set.copyOf(databases);
    keyHashes = Set.copyOf(keyHashes);
  }
}
