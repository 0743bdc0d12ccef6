package org.toucanmast.runtime.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.concurrency.ConcurrencyRule;
import org.toucanmast.core.concurrency.EndpointLimits;
import org.toucanmast.core.concurrency.TimerDelay;
import org.toucanmast.core.feature.Feature;
import org.toucanmast.core.freshness.PositionHistory;
import org.toucanmast.core.mirror.ChangePromises;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;

class LearnedLimitTest {
  private static final int SLOTS = 3;

  private final Vertx vertx = Vertx.vertx();
  private final MetricRegistry metrics = new MetricRegistry();
  private final EventLog log = new EventLog("vm", OutputStream.nullOutputStream());
  private long now = 100_000;

  private static EndpointEntry entry(long startedAt) {
    return new EndpointEntry("i-1", "group", "127.0.0.1", 1, "a", SLOTS, false, true, startedAt);
  }

  private EndpointPool pool(Optional<LearnedLimit> learned) {
    return new EndpointPool(
        vertx.createNetClient(),
        new NoOpDialect(),
        new VmClock(() -> now, () -> now),
        log,
        new PositionHistory(1_000),
        entry(1),
        now,
        new PoolLimits(ChangePromises.DEFAULT.leavingPrimaryGraceInMilliseconds(), 12, learned));
  }

  private LearnedLimit learned() {
    EndpointLimits group = new EndpointLimits(ConcurrencyRule.GRADIENT);
    group.add(SLOTS);
    return new LearnedLimit(group, new TimerDelay(), metrics, log, "i-1", SLOTS);
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  private void failRepeatedly(LearnedLimit limit) {
    for (int index = 0; index < 40; index++) {
      now += 30;
      limit.onFailed(now);
    }
  }

  @Test
  void should_start_no_second_statement_at_a_replica_that_fails() {
    LearnedLimit limit = learned();
    EndpointPool pool = pool(Optional.of(limit));
    failRepeatedly(limit);

    assertThat(pool.usableSlots(now)).isOne();
    assertThat(pool.canStart(now)).isTrue();
    pool.takeSlot();
    assertThat(pool.canStart(now)).isFalse();
    assertThat(pool.placementFactor()).isGreaterThan(2);
    assertThat(metrics.getGauges().get("endpoint.limit.i_002d1").getValue()).isEqualTo(1);
  }

  /** A primary without work would leave the writes of its group waiting. */
  @Test
  void should_not_lower_the_limit_of_a_primary_that_fails() {
    LearnedLimit limit = learned();
    EndpointPool pool = pool(Optional.of(limit));
    pool.setPrimary(true);
    failRepeatedly(limit);

    assertThat(pool.usableSlots(now)).isEqualTo(SLOTS);
  }

  @Test
  void should_discard_what_was_learned_when_the_endpoint_restarts() {
    LearnedLimit limit = learned();
    EndpointPool pool = pool(Optional.of(limit));
    failRepeatedly(limit);
    pool.update(entry(2), now);

    assertThat(pool.usableSlots(now)).isEqualTo(SLOTS);
    assertThat(pool.placementFactor()).isEqualTo(1);
  }

  @Test
  void should_limit_by_slots_and_register_no_gauges_where_limits_are_not_learned() {
    GatewayContext context = new GatewayContext(null, null, null, null, log, null, "a", 1);
    EndpointPool pool = pool(context.learnedLimit(entry(1)));
    for (int statement = 0; statement <= SLOTS; statement++) {
      assertThat(pool.hasSlot()).isTrue();
      pool.takeSlot();
    }

    assertThat(pool.hasSlot()).isFalse();
    assertThat(pool.usableSlots(now)).isEqualTo(SLOTS);
    assertThat(pool.isProbeDue()).isFalse();
    assertThat(pool.placementFactor()).isEqualTo(1);
    assertThat(metrics.getNames()).isEmpty();
  }

  @Test
  void should_remove_the_gauges_of_a_removed_endpoint() {
    GatewayContext context = new GatewayContext(null, null, null, null, log, null, "a", 1);
    context.setFeatures(Set.of(Feature.LEARNED_LIMITS), metrics);
    EndpointPool pool = pool(context.learnedLimit(entry(1)));

    assertThat(metrics.getNames()).contains("endpoint.limit.i_002d1", "endpoint.service.i_002d1");
    pool.close();
    assertThat(metrics.getNames()).isEmpty();
  }

  /** Two metrics of one exported name end the whole report. */
  @Test
  void should_export_endpoints_that_differ_in_punctuation_under_different_names() {
    List<String> endpoints = List.of("i-1", "i_1", "i.1", "i 1", "i_002d1", "total");
    for (String endpoint : endpoints) {
      EndpointLimits group = new EndpointLimits(ConcurrencyRule.GRADIENT);
      new LearnedLimit(group, new TimerDelay(), metrics, log, endpoint, SLOTS)
          .registerGauges(() -> 0.0);
    }

    assertThat(metrics.getNames().stream().map(name -> name.replaceAll("\\W", "_")).distinct())
        .hasSize(2 * endpoints.size())
        .noneMatch(name -> name.endsWith("_total"));
  }
}
