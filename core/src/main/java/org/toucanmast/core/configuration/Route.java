package org.toucanmast.core.configuration;

/**
 * A read that every caller may send without a key.
 *
 * @param name its name
 * @param database the database it reads
 * @param prefix the start of every key it may read
 * @param allowance the rate and burst of all its callers together
 * @param maximumAge the age that its answers may have, in nanoseconds
 */
public record Route(
    String name, String database, String prefix, Allowance allowance, long maximumAge) {
  /** Returns the name under which the route's allowance is counted. */
  public String allowanceName() {
    return "route:" + name;
  }
}
