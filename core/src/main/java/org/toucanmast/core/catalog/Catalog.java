package org.toucanmast.core.catalog;

import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration, compiled for lookup.
 *
 * @param version rises with each change
 * @param routesByDatabase the routes
 * @param customersByKey the customers, by each of their keys
 * @param groups the limits of each database group
 * @param idleTransactionInMilliseconds how long a transaction may stay idle
 */
public record Catalog(
    long version,
    Map<String, Route> routesByDatabase,
    Map<String, Customer> customersByKey,
    Map<String, GroupLimits> groups,
    long idleTransactionInMilliseconds) {

  /** The catalog before any configuration was seen. */
  public static final Catalog EMPTY = new Catalog(0, Map.of(), Map.of(), Map.of(), 1);

  /** Copies the maps. */
  public Catalog {
    routesByDatabase = Map.copyOf(routesByDatabase);
    customersByKey = Map.copyOf(customersByKey);
    groups = Map.copyOf(groups);
  }

  /** Returns the route of a database. */
  public Optional<Route> route(String database) {
    return Optional.ofNullable(routesByDatabase.get(database));
  }

  /** Returns the customer that holds a key. */
  public Optional<Customer> customer(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /** Returns whether this was made from a configuration. */
  public boolean isLoaded() {
    return version > 0;
  }

  /** Returns the newer of this and another catalog; a catalog is never replaced by an older one. */
  public Catalog newest(Catalog other) {
    return other.version > version ? other : this;
  }
}
