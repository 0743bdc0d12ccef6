package org.toucanmast.runtime.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.PromotionOrders;
import org.toucanmast.runtime.port.PromotionOrders.Outcome;
import org.toucanmast.runtime.port.StoreException.Reason;
import org.toucanmast.runtime.store.InMemoryObjectStore;

class PromotionDeskTest {
  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final List<Long> tokens = new ArrayList<>();
  private Outcome outcome = Outcome.ACCEPTED;
  private long now = 100_000;

  private final PromotionOrders orders =
      (group, endpoint, holder, token) -> {
        tokens.add(token);
        return Future.succeededFuture(outcome);
      };

  private PromotionDesk desk(String vm) {
    EventLog log = new EventLog(vm, OutputStream.nullOutputStream());
    return new PromotionDesk(store, orders, new VmClock(() -> now, () -> now), log, vm);
  }

  @Test
  void should_order_with_the_revision_of_its_own_claim() {
    assertThat(desk("a").promote("group", "i-1").result()).isEqualTo(Outcome.ACCEPTED);
    assertThat(tokens).containsExactly(11L);
  }

  @Test
  void should_order_again_with_the_same_token_while_it_holds_the_duty() {
    PromotionDesk desk = desk("a");
    desk.promote("group", "i-1");
    desk.promote("group", "i-2");

    assertThat(tokens).containsExactly(11L, 11L);
  }

  @Test
  void should_never_order_again_with_a_token_that_was_refused() {
    PromotionDesk desk = desk("a");
    outcome = Outcome.REFUSED;
    desk.promote("group", "i-1");
    desk.promote("group", "i-1");

    assertThat(tokens).doesNotHaveDuplicates().hasSize(2);
  }

  @Test
  void should_take_a_new_token_after_an_order_whose_outcome_is_unknown() {
    PromotionDesk desk = desk("a");
    outcome = Outcome.UNKNOWN;
    desk.promote("group", "i-1");
    desk.promote("group", "i-2");

    assertThat(tokens.get(1)).isGreaterThan(tokens.get(0));
  }

  @Test
  void should_order_nothing_for_a_lease_after_it_took_the_duty_from_another_vm() {
    desk("a").promote("group", "i-1");
    PromotionDesk other = desk("b");

    assertThat(other.promote("group", "i-1").result()).isEqualTo(Outcome.UNAVAILABLE);
    now += 3_000;
    assertThat(other.promote("group", "i-1").result()).isEqualTo(Outcome.UNAVAILABLE);
    now += 1_000;
    assertThat(other.promote("group", "i-1").result()).isEqualTo(Outcome.ACCEPTED);
    assertThat(tokens).hasSize(2);
    assertThat(tokens.get(1)).isGreaterThan(tokens.get(0));
  }

  @Test
  void should_order_at_once_after_it_took_the_duty_from_a_vm_that_ordered_nothing() {
    desk("a").prepareSoon("group", now);

    assertThat(desk("b").promote("group", "i-1").result()).isEqualTo(Outcome.ACCEPTED);
  }

  @Test
  void should_wait_for_an_order_that_was_given_before_the_duty_changed_hands_twice() {
    desk("a").promote("group", "i-1");
    now += 500;
    desk("b").prepareSoon("group", now);
    now += 500;

    assertThat(desk("c").promote("group", "i-2").result()).isEqualTo(Outcome.UNAVAILABLE);
  }

  @Test
  void should_wait_for_an_order_whose_holder_took_a_new_token_since() {
    PromotionDesk desk = desk("a");
    outcome = Outcome.UNKNOWN;
    desk.promote("group", "i-1");
    desk.prepareSoon("group", now);
    now += 500;

    assertThat(desk("b").promote("group", "i-2").result()).isEqualTo(Outcome.UNAVAILABLE);
  }

  @Test
  void should_wait_when_it_takes_the_duty_from_a_vm_that_ordered_long_ago() {
    PromotionDesk desk = desk("a");
    desk.promote("group", "i-1");
    now += 60_000;
    desk.prepareSoon("group", now);

    assertThat(desk("b").promote("group", "i-2").result()).isEqualTo(Outcome.UNAVAILABLE);
  }

  @Test
  void should_need_no_store_once_it_holds_the_duty() {
    PromotionDesk desk = desk("a");
    desk.prepareSoon("group", now);
    store.failWith(Reason.REFUSED);

    assertThat(desk.promote("group", "i-1").result()).isEqualTo(Outcome.ACCEPTED);
  }

  @Test
  void should_order_nothing_without_a_token() {
    store.failWith(Reason.REFUSED);

    assertThat(desk("a").promote("group", "i-1").result()).isEqualTo(Outcome.UNAVAILABLE);
    assertThat(tokens).isEmpty();
  }
}
