package org.toucanmast.runtime.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.configuration.ConfigurationState;
import org.toucanmast.core.configuration.Customer;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.configuration.OpeningHours;
import org.toucanmast.core.configuration.Route;
import org.toucanmast.core.request.Outcome;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;

/** Guards against requests that run for a customer, or by an open route, of a former revision. */
class AccessControlTest {
  private static final String DATABASE = "stock";
  private static final Allowance ALLOWANCE = new Allowance(10, 10);
  private static final Route ROUTE = new Route("offers", DATABASE, "offer-", ALLOWANCE, 0);

  private final ConfigurationState configuration = new ConfigurationState();
  private final AccessControl access = new AccessControl(configuration, () -> true);
  private Principal principal;

  @BeforeEach
  void authenticate() throws RefusedException {
    put(1, Map.of("offers", ROUTE), Map.of(FleetConfiguration.hashOfKey("key"), "former"));
    principal = access.authenticate("key");
    access.check(principal, DATABASE, Instant.EPOCH);
  }

  private void put(long revision, Map<String, Route> routes, Map<String, String> customersByKey) {
    configuration.replaceIfNewer(
        new FleetConfiguration(
            revision,
            Map.of("former", customer("former"), "present", customer("present")),
            Map.of(),
            routes,
            Set.of(),
            customersByKey));
  }

  private static Customer customer(String name) {
    return new Customer(
        name, ALLOWANCE, new OpeningHours(List.of(), ZoneOffset.UTC), Set.of(DATABASE), Set.of());
  }

  private Refusal refusalOf(Principal checked) {
    RefusedException refused =
        catchThrowableOfType(
            RefusedException.class, () -> access.check(checked, DATABASE, Instant.EPOCH));
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    return refused.refusal();
  }

  @Test
  void should_let_the_caller_repeat_a_request_whose_key_has_moved() throws RefusedException {
    put(2, Map.of(), Map.of(FleetConfiguration.hashOfKey("key"), "present"));

    assertThat(refusalOf(principal)).isEqualTo(Refusal.KEY_MOVED);
    assertThat(Refusal.KEY_MOVED.retryAfterInSeconds()).hasValue(0);
    access.check(access.authenticate("key"), DATABASE, Instant.EPOCH);
  }

  @Test
  void should_refuse_a_key_that_was_withdrawn() {
    put(2, Map.of(), Map.of());

    assertThat(refusalOf(principal)).isEqualTo(Refusal.UNAUTHENTICATED);
  }

  @Test
  void should_refuse_a_request_whose_open_route_was_removed() throws RefusedException {
    Principal anonymous = new Principal(ROUTE.allowanceName(), "");
    access.check(anonymous, DATABASE, Instant.EPOCH);
    put(2, Map.of(), Map.of());

    assertThat(refusalOf(anonymous)).isEqualTo(Refusal.NOT_FOUND);
  }
}
