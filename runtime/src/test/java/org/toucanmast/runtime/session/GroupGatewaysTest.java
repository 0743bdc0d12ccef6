package org.toucanmast.runtime.session;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import java.io.OutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.toucanmast.core.catalog.Catalog;
import org.toucanmast.core.catalog.EndpointEntry;
import org.toucanmast.core.catalog.GroupLimits;
import org.toucanmast.core.mirror.ContentVersion;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.gateway.GatewayContext;
import org.toucanmast.runtime.port.PlatformModel;
import org.toucanmast.runtime.port.StoredObject;
import org.toucanmast.runtime.store.KindMirror;

/** Guards against a heap that is filled by groups which short-lived entries of endpoints name. */
@Timeout(60)
class GroupGatewaysTest {
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final AtomicLong now = new AtomicLong(100_000);
  private final VmClock clock = new VmClock(now::get, now::get);
  private final EventLog log = new EventLog("vm-1", OutputStream.nullOutputStream());
  private final GatewayContext context =
      new GatewayContext(vertx, vertx.createNetClient(), null, clock, log, null, "a", 1);
  private final GatewayRouter router = new GatewayRouter("a");
  private final GroupGateways gateways = new GroupGateways(context, new Model(), log, router);
  private final KindMirror.Listener listener = gateways.endpointListener();

  /** Takes the group of an endpoint from the field of this name. */
  private static final class Model implements PlatformModel {
    @Override
    public String configurationKind() {
      return "config";
    }

    @Override
    public String configurationName() {
      return "main";
    }

    @Override
    public String endpointKind() {
      return "servers";
    }

    @Override
    public String takenOutKind() {
      return "evacuations";
    }

    @Override
    public Optional<ContentVersion> contentVersion(String kind, JsonObject content) {
      return Optional.empty();
    }

    @Override
    public Catalog catalog(JsonObject content) {
      return Catalog.EMPTY;
    }

    @Override
    public EndpointEntry endpoint(String name, JsonObject content) {
      String group = content.getString("group");
      return new EndpointEntry(name, group, "127.0.0.1", 9, "a", 1, false, false, 1);
    }
  }

  private <T> T onEventLoop(Supplier<T> action) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    vertx.runOnContext(ignored -> done.complete(action.get()));
    return done.get(20, TimeUnit.SECONDS);
  }

  private void add(String name, String group) {
    listener.onObject(
        new StoredObject(name, new StorePosition(0, 1), new JsonObject().put("group", group)), 0);
  }

  @BeforeEach
  void start() throws Exception {
    onEventLoop(
        () -> {
          gateways.onCatalog(
              new Catalog(
                  1, Map.of(), Map.of(), Map.of("configured", new GroupLimits(1, 0)), 1_000));
          gateways.startSweeping();
          return true;
        });
  }

  @AfterEach
  void close() {
    vertx.close();
  }

  @Test
  void should_forget_groups_that_neither_the_store_nor_the_configuration_names() throws Exception {
    onEventLoop(
        () -> {
          add("present", "present");
          add("former", "configured");
          listener.onObjectRemoved("former");
          for (int number = 0; number < 500; number++) {
            add("short-lived", "group-" + number);
          }
          listener.onObjectRemoved("short-lived");
          return true;
        });
    assertThat(onEventLoop(gateways::size)).isEqualTo(502);

    now.addAndGet(10_000);

    await().until(() -> onEventLoop(gateways::size) == 2);
    assertThat(onEventLoop(() -> router.isNearby("group-1", "vm-1"))).isFalse();
    assertThat(onEventLoop(gateways::groups)).containsExactly("present");
  }
}
