package org.toucanmast.core.configuration;

import java.util.Set;

/**
 * One customer, after its template was filled in.
 *
 * @param name its name
 * @param allowance its rate and burst
 * @param hours its opening hours
 * @param databases the databases it may reach
 * @param keyHashes SHA-256 hashes of its keys
 */
public record Customer(
    String name,
    Allowance allowance,
    OpeningHours hours,
    Set<String> databases,
    Set<String> keyHashes) {
  /** Keeps copies of the sets. */
  public Customer {
    databases = Set.copyOf(databases);
    keyHashes = Set.copyOf(keyHashes);
  }
}
