package org.toucanmast.core.configuration;

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
  /** Returns the name under which requests to this route are counted against its allowance. */
  public String allowanceName() {
    return "route:" + name;
  }
}
