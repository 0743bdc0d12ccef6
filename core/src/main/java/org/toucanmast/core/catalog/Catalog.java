package org.toucanmast.core.catalog;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.access.KeyDirectory;
import org.toucanmast.core.access.KeyFingerprint;

/**
 * One version of the configuration, compiled for lookup.
 *
 * @param version the version number, which increases with each change; 0 before any configuration
 * @param routesByDatabase the routes by database name
 * @param customersByKey the customers by the fingerprints of their API keys; a customer with
 *     several keys occurs once per key
 * @param groups the limits of each database group by group name
 * @param idleTransactionInMilliseconds the idle time after which an open transaction is rolled back
 * @param leftOut which elements of the configuration cannot be used, and why
 */
public record Catalog(
    long version,
    Map<String, Route> routesByDatabase,
    Map<KeyFingerprint, Customer> customersByKey,
    Map<String, GroupLimits> groups,
    long idleTransactionInMilliseconds,
    List<String> leftOut)
    implements KeyDirectory<KeyFingerprint> {

  /** The catalog in use until a configuration has been loaded. */
  public static final Catalog EMPTY = new Catalog(0, Map.of(), Map.of(), Map.of(), 1);

  /** Creates a catalog of which all elements can be used. */
  public Catalog(
      long version,
      Map<String, Route> routesByDatabase,
      Map<KeyFingerprint, Customer> customersByKey,
      Map<String, GroupLimits> groups,
      long idleTransactionInMilliseconds) {
    this(
        version,
        routesByDatabase,
        customersByKey,
        groups,
        idleTransactionInMilliseconds,
        List.of());
  }

  /** Creates a catalog with unmodifiable copies of the collections. */
  public Catalog {
    routesByDatabase = Map.copyOf(routesByDatabase);
    customersByKey = Map.copyOf(customersByKey);
    groups = Map.copyOf(groups);
    leftOut = List.copyOf(leftOut);
  }

  /** Returns the route of a database; empty when no route has this database name. */
  public Optional<Route> route(String database) {
    return Optional.ofNullable(routesByDatabase.get(database));
  }

  /** Returns the customer that an API key belongs to; empty when the key is unknown. */
  public Optional<Customer> customer(KeyFingerprint key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  @Override
  public Optional<String> holderOf(KeyFingerprint key) {
    return customer(key).map(Customer::name);
  }

  /** Returns the number of keys that belonged to another customer in a former catalog. */
  public long keysMovedSince(Catalog former) {
    return customersByKey.entrySet().stream()
        .filter(
            entry ->
                former
                    .holderOf(entry.getKey())
                    .filter(holder -> !holder.equals(entry.getValue().name()))
                    .isPresent())
        .count();
  }

  /** Returns whether this catalog was compiled from a configuration. */
  public boolean isLoaded() {
    return version > 0;
  }

  /**
   * Returns the other catalog if its version is higher, otherwise this one. A catalog is never
   * replaced by an older version.
   */
  public Catalog newest(Catalog other) {
    return other.version > version ? other : this;
  }
}
