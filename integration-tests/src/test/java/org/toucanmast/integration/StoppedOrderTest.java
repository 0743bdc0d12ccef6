package org.toucanmast.integration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.toucanmast.core.promotion.Observers;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;
import org.toucanmast.standin.fleet.FleetVm;

@Timeout(90)
class StoppedOrderTest {
  /** Keeps a planned move waiting for its target; below the limit of its polls, about 0.5 s. */
  private static final long REPLICATION_LAG_IN_MILLISECONDS = 300;

  /**
   * Guards against a group whose primary is fenced by a VM that ends before it promotes another.
   */
  @Test
  @Tag("known-red")
  void should_complete_a_planned_move_before_the_process_ends() throws IOException {
    try (Fleet fleet =
        Fleet.start(
            FleetPlan.of(Deployment.QUICKSTART).withSetting("shutdown.announce-delay", "0ms"))) {
      FleetVm orderer = fleet.vms().get(firstObserver(fleet));
      String control = fleet.databaseControls().get("stock");
      for (Object each : fleet.control().endpoints(control)) {
        fleet
            .control()
            .setEndpoint(
                control,
                ((JsonObject) each).getString("name"),
                new JsonObject().put("lagMilliseconds", REPLICATION_LAG_IN_MILLISECONDS));
      }
      Caller caller = Caller.of(otherThan(orderer, fleet).callerAddress(), "bench-1");
      AtomicBoolean writing = new AtomicBoolean(true);
      CompletableFuture<Void> writes =
          CompletableFuture.runAsync(
              () -> {
                while (writing.get()) {
                  caller.write("stock", "put move 1", "");
                }
              });
      assertThat(fleet.runOperatorCommand("group", "move", "stock", "stock-2")).isZero();
      Fleet.waitFor(
          () -> logOf(orderer).contains("stock: ordering the promotion"), "the move to be ordered");
      orderer.process().terminate();
      writing.set(false);

      assertThat(orderer.process().awaitExit()).isZero();
      writes.join();
      assertThat(logOf(orderer)).contains("stock: stock-2 is primary of term");
    }
  }

  private static String firstObserver(Fleet fleet) {
    Map<String, String> dataCentres = new HashMap<>();
    fleet.vms().values().forEach(vm -> dataCentres.put(vm.name(), vm.dataCentre()));
    return Observers.of("stock", dataCentres).get(0);
  }

  /** Returns a VM through which requests are sent, so that they do not hold up the stop. */
  private static FleetVm otherThan(FleetVm excluded, Fleet fleet) {
    return fleet.vms().values().stream().filter(vm -> vm != excluded).findFirst().orElseThrow();
  }

  private static String logOf(FleetVm vm) {
    try {
      return Files.readString(vm.process().log());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
