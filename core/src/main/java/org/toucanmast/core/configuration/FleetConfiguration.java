package org.toucanmast.core.configuration;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * One revision of the configuration, complete and checked.
 *
 * @param revision the platform's version of it; higher is newer
 * @param customers customers by name
 * @param databases databases by name
 * @param routes open routes by name
 * @param closedDataCentres data centres that operators have taken out
 * @param customersByKey customer names by key hash
 */
public record FleetConfiguration(
    long revision,
    Map<String, Customer> customers,
    Map<String, Database> databases,
    Map<String, Route> routes,
    Set<String> closedDataCentres,
    Map<String, String> customersByKey) {

  /** Keeps copies of the maps. */
  public FleetConfiguration {
    customers = Map.copyOf(customers);
    databases = Map.copyOf(databases);
    routes = Map.copyOf(routes);
    closedDataCentres = Set.copyOf(closedDataCentres);
    customersByKey = Map.copyOf(customersByKey);
  }

  /** Returns the configuration of a fleet that has none yet. */
  public static FleetConfiguration empty() {
    return new FleetConfiguration(0, Map.of(), Map.of(), Map.of(), Set.of(), Map.of());
  }

  /** Returns the hash under which a key is kept. */
  public static String hashOfKey(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  /** Tells whether an endpoint may be given new work. */
  public boolean acceptsWork(EndpointDescription endpoint) {
    return !endpoint.leaving() && !closedDataCentres.contains(endpoint.dataCentre());
  }

  /**
   * Returns all allowances, of customers and of open routes, by the name they are counted under.
   */
  public Map<String, Allowance> allowances() {
    Map<String, Allowance> allowances = new HashMap<>();
    customers.values().forEach(customer -> allowances.put(customer.name(), customer.allowance()));
    routes.values().forEach(route -> allowances.put(route.allowanceName(), route.allowance()));
    return allowances;
  }
}
