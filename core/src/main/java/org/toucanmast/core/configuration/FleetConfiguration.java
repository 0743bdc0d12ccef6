package org.toucanmast.core.configuration;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.access.KeyDirectory;

/**
 * One validated revision of the fleet's configuration.
 *
 * @param revision the version in the platform's store; a higher revision is newer, 0 is none
 * @param customers the customers by name
 * @param databases the databases by name
 * @param routes the public routes by name
 * @param takenOutDataCentres the names of the data centres that operators have taken out
 * @param customersByKey the customer names by API key hash
 */
public record FleetConfiguration(
    long revision,
    Map<String, Customer> customers,
    Map<String, Database> databases,
    Map<String, Route> routes,
    Set<String> takenOutDataCentres,
    Map<String, String> customersByKey)
    implements KeyDirectory<String> {

  /** Creates a configuration with unmodifiable copies of the collections. */
  public FleetConfiguration {
    customers = Map.copyOf(customers);
    databases = Map.copyOf(databases);
    routes = Map.copyOf(routes);
    takenOutDataCentres = Set.copyOf(takenOutDataCentres);
    customersByKey = Map.copyOf(customersByKey);
  }

  /** Returns the configuration in use until a revision has been loaded. */
  public static FleetConfiguration empty() {
    return new FleetConfiguration(0, Map.of(), Map.of(), Map.of(), Set.of(), Map.of());
  }

  /**
   * Returns the SHA-256 hash of an API key, in hexadecimal digits, as the configuration lists it.
   */
  public static String hashOfKey(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  @Override
  public long version() {
    return revision;
  }

  @Override
  public Optional<String> holderOf(String keyHash) {
    return Optional.ofNullable(customersByKey.get(keyHash));
  }

  /** Returns whether a public route that is counted under a name reads a database. */
  public boolean hasRoute(String allowanceName, String database) {
    return Route.nameOf(allowanceName)
        .map(routes::get)
        .filter(route -> route.database().equals(database))
        .isPresent();
  }

  /** Returns whether an endpoint may be given new work. */
  public boolean acceptsWork(EndpointDescription endpoint) {
    return !endpoint.leaving() && !takenOutDataCentres.contains(endpoint.dataCentre());
  }

  /**
   * Returns the allowances of all customers and public routes by the name under which their
   * requests are counted.
   */
  public Map<String, Allowance> allowances() {
    Map<String, Allowance> allowances = new HashMap<>();
    customers.values().forEach(customer -> allowances.put(customer.name(), customer.allowance()));
    routes.values().forEach(route -> allowances.put(route.allowanceName(), route.allowance()));
    return allowances;
  }
}
