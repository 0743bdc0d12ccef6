package org.toucanmast.runtime.request;

import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.toucanmast.core.configuration.ConfigurationState;
import org.toucanmast.core.configuration.Customer;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;

/**
 * Authenticates keys and decides whether a principal may use a database. A request is checked again
 * whenever it has waited, because its key may have been withdrawn meanwhile.
 */
public final class AccessControl {
  private final ConfigurationState configuration;
  private final BooleanSupplier keysAreFresh;

  /**
   * Creates the access control.
   *
   * @param configuration the configuration in force
   * @param keysAreFresh returns whether this VM may rely on the keys it knows
   */
  public AccessControl(ConfigurationState configuration, BooleanSupplier keysAreFresh) {
    this.configuration = configuration;
    this.keysAreFresh = keysAreFresh;
  }

  /**
   * Returns the principal of a key.
   *
   * @param key the key in plain text, or null
   * @throws RefusedException if the key is missing or unknown, or if the known keys are not fresh;
   *     the error does not disclose which customers exist
   */
  public Principal authenticate(String key) throws RefusedException {
    if (key == null || key.isEmpty()) {
      throw new RefusedException(Refusal.UNAUTHENTICATED);
    }
    if (!keysAreFresh.getAsBoolean()) {
      throw new RefusedException(Refusal.KEYS_NOT_FRESH);
    }
    String hash = FleetConfiguration.hashOfKey(key);
    Optional<String> customer = configuration.current().holderOf(hash);
    if (customer.isEmpty()) {
      throw new RefusedException(Refusal.UNAUTHENTICATED);
    }
    return new Principal(customer.get(), hash);
  }

  /**
   * Checks that a principal may use a database now.
   *
   * @throws RefusedException if the known keys are not fresh, the key was withdrawn or has moved to
   *     another customer, the customer may not use the database at this time, or the open route of
   *     an anonymous principal no longer reads the database
   */
  public void check(Principal principal, String database, Instant now) throws RefusedException {
    FleetConfiguration current = configuration.current();
    if (principal.isAnonymous()) {
      if (!current.hasRoute(principal.name(), database)) {
        throw new RefusedException(Refusal.NOT_FOUND);
      }
      return;
    }
    if (!keysAreFresh.getAsBoolean()) {
      throw new RefusedException(Refusal.KEYS_NOT_FRESH);
    }
    switch (principal.claim().statusIn(current)) {
      case MOVED -> throw new RefusedException(Refusal.KEY_MOVED);
      case WITHDRAWN -> throw new RefusedException(Refusal.UNAUTHENTICATED);
      default -> {}
    }
    Optional<Customer> customer = Optional.ofNullable(current.customers().get(principal.name()));
    boolean allowed =
        customer
            .filter(each -> each.databases().contains(database))
            .filter(each -> each.hours().isOpen(now))
            .isPresent();
    if (!allowed) {
      throw new RefusedException(Refusal.FORBIDDEN);
    }
  }
}
