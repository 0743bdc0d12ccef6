package org.toucanmast.core.configuration;

import java.util.Optional;

/**
 * A public route: a read that callers may send without an API key.
 *
 * @param name the route's name
 * @param database the name of the database that it reads
 * @param prefix the prefix that the proxy puts before the key of each read
 * @param allowance the rate and burst of all its callers together
 * @param maximumAge the maximum age of the data in its answers, in nanoseconds
 */
public record Route(
    String name, String database, String prefix, Allowance allowance, long maximumAge) {
  private static final String ALLOWANCE_PREFIX = "route:";

  /** Returns the name under which requests to this route are counted against its allowance. */
  public String allowanceName() {
    return ALLOWANCE_PREFIX + name;
  }

  /** Returns the name of the route that is counted under a name; empty if it is a customer's. */
  static Optional<String> nameOf(String allowanceName) {
    return allowanceName.startsWith(ALLOWANCE_PREFIX)
        ? Optional.of(allowanceName.substring(ALLOWANCE_PREFIX.length()))
        : Optional.empty();
  }

  /**
   * Returns the statement that reads a key, or empty if the key is not one word: the endpoint would
   * read another statement.
   */
  public Optional<String> readStatement(String key) {
    boolean isWord = !key.isEmpty() && key.chars().allMatch(character -> character > ' ');
    return isWord ? Optional.of("get " + prefix + key) : Optional.empty();
  }
}
