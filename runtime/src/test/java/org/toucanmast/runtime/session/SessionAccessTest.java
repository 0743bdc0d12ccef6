package org.toucanmast.runtime.session;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.catalog.Customer;
import org.toucanmast.core.catalog.Route;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.link.LocalHealth;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.fleet.FleetLinks;

/** Guards against operations that are admitted for a customer whose key moves while they wait. */
class SessionAccessTest {
  private static final Allowance ALLOWANCE = new Allowance(1_000, 1_000);
  private static final List<String> FLEET = List.of("vm-1", "vm-2");

  private final Vertx vertx = Vertx.vertx();
  private final EventLog log = new EventLog("vm-1", OutputStream.nullOutputStream());
  private long now = 100_000;
  private final VmClock clock = new VmClock(() -> now, () -> now);
  private final FleetLinks links =
      new FleetLinks(vertx.createNetClient(), vertx.createNetServer(), clock, log, null, "vm-1", 1);
  private final SessionAllowances allowances =
      new SessionAllowances(vertx, clock, log, "vm-1", links, new LocalHealth());
  private final SessionContext context =
      new SessionContext(
          vertx, null, clock, log, null, allowances, new SessionMetrics(new MetricRegistry()));
  private final SessionAccess access = new SessionAccess(context, "database", "key");
  private final List<String> admitted = new ArrayList<>();
  private final List<SessionAccess.Refusal> refusals = new ArrayList<>();

  @BeforeEach
  void admitWhileTheHolderOfTheAllowanceIsSilent() {
    now += 10_000;
    putHolder(1, "key", "former");
    allowances.onFleetChanged(FLEET, List.of("vm-2"));
    access.admit((route, claim) -> admitted.add(claim.customer()), refusals::add);
    assertThat(admitted).isEmpty();
    assertThat(refusals).isEmpty();
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  private void putHolder(long version, String key, String customer) {
    Catalog catalog =
        new Catalog(
            version,
            Map.of(
                "database",
                new Route("database", "group", RouteKind.PRIMARY, 0, 1_000, 200, 1, false)),
            Map.of(KeyFingerprint.of(key), new Customer(customer, ALLOWANCE)),
            Map.of(),
            3_000);
    context.setCatalog(catalog);
    allowances.onCatalog(catalog.customersByKey().values());
  }

  private void holdAllowancesHere() {
    allowances.onFleetChanged(FLEET, List.of("vm-1"));
  }

  private void endWait() {
    now += 1_000;
    allowances.expireTokenRequests();
  }

  @Test
  void should_admit_for_the_present_holder_when_the_key_moved_during_the_wait() {
    putHolder(2, "key", "present");
    holdAllowancesHere();
    endWait();

    assertThat(admitted).containsExactly("present");
    assertThat(refusals).isEmpty();
  }

  @Test
  void should_refuse_a_key_that_was_withdrawn_during_the_wait() {
    putHolder(2, "another-key", "former");
    holdAllowancesHere();
    endWait();

    assertThat(admitted).isEmpty();
    assertThat(refusals)
        .extracting(SessionAccess.Refusal::code)
        .containsExactly(ResultCode.NO_CUSTOMER);
  }

  @Test
  void should_refuse_for_the_allowance_when_the_key_is_still_held() {
    endWait();

    assertThat(admitted).isEmpty();
    assertThat(refusals).extracting(SessionAccess.Refusal::code).containsExactly(ResultCode.BUSY);
  }
}
